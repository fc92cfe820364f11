"""Decoding of text chunks that may end within a character."""

import codecs


class TextDecoder:
    """Incremental UTF-8 decoder that counts the bytes of its input."""

    def __init__(self) -> None:
        self._decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """The number of bytes added so far."""
        return self._n_bytes

    def add(self, data: bytes) -> str:
        """Return the characters that the data completes."""
        self._n_bytes += len(data)
        return self._decoder.decode(data)

"""Find where a long msgpack frame ends while it arrives, without a second copy of it.

Formats: https://github.com/msgpack/msgpack/blob/master/spec.md
"""

from msgspec import Struct

from oleanderhitch.connection.exceptions import MalformedFrameError

# Bytes after the first one that formats with a fixed size take: numbers, false, true,
# nil and extensions of up to 16 bytes.
_FIXED_SIZES = {
    0xC0: 0,
    0xC2: 0,
    0xC3: 0,
    0xCA: 4,
    0xCB: 8,
    0xCC: 1,
    0xCD: 2,
    0xCE: 4,
    0xCF: 8,
    0xD0: 1,
    0xD1: 2,
    0xD2: 4,
    0xD3: 8,
    0xD4: 2,
    0xD5: 3,
    0xD6: 5,
    0xD7: 9,
    0xD8: 17,
}
# Bytes that give the length of a text, byte string or extension, and further ones
# besides its content.
_LENGTH_SIZES = {
    0xC4: (1, 0),
    0xC5: (2, 0),
    0xC6: (4, 0),
    0xC7: (1, 1),
    0xC8: (2, 1),
    0xC9: (4, 1),
    0xD9: (1, 0),
    0xDA: (2, 0),
    0xDB: (4, 0),
}
# Bytes that give the number of entries, and items for each entry.
_COUNT_SIZES = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}


class FrameScanner(Struct):
    """The position of the next item of a frame, and how many items are missing.

    The position may lie behind the bytes that have arrived.
    """

    position: int = 0
    n_items_left: int = 1

    def is_complete(self, data: bytearray) -> bool:
        """Go on with all bytes so far; return whether the frame ends among them.

        Raise MalformedFrameError for a byte that begins no item.
        """
        while self.n_items_left:
            if self.position >= len(data):
                return False
            step = _measure_item(data, self.position)
            if step is None:
                return False
            n_bytes, n_children = step
            self.position += n_bytes
            self.n_items_left += n_children - 1
        return self.position <= len(data)


def _measure_item(data: bytearray, position: int) -> tuple[int, int] | None:
    """Return the size of an item without its children, and their number.

    Return None if its head has not arrived whole.
    """
    first = data[position]
    if first < 0x80 or first >= 0xE0:
        return 1, 0
    if first < 0x90:
        return 1, 2 * (first & 0x0F)
    if first < 0xA0:
        return 1, first & 0x0F
    if first < 0xC0:
        return 1 + (first & 0x1F), 0
    if first in _FIXED_SIZES:
        return 1 + _FIXED_SIZES[first], 0
    if first in _LENGTH_SIZES:
        n_length_bytes, n_more_bytes = _LENGTH_SIZES[first]
        length = _read_number(data, position + 1, n_length_bytes)
        if length is None:
            return None
        return 1 + n_length_bytes + n_more_bytes + length, 0
    if first in _COUNT_SIZES:
        n_count_bytes, n_items = _COUNT_SIZES[first]
        count = _read_number(data, position + 1, n_count_bytes)
        return None if count is None else (1 + n_count_bytes, n_items * count)
    raise MalformedFrameError(f"frame is not msgpack: byte {first:#x} begins no item")


def _read_number(data: bytearray, position: int, n_bytes: int) -> int | None:
    end = position + n_bytes
    return int.from_bytes(data[position:end]) if end <= len(data) else None

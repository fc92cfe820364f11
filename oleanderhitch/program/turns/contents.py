"""Read the contents of turns, wherever they are kept.

A content stays in memory until a snapshot has stored it in a file.
"""

from functools import singledispatch


@singledispatch
def get_content_size(content: object) -> int:
    """Return the number of bytes of a content."""
    raise TypeError(f"{type(content).__name__} is not the content of a turn")


@get_content_size.register
def _(content: bytes | memoryview) -> int:
    return len(content)


@singledispatch
def read_content(content: object) -> bytes:
    """Return the bytes of a content; raise OleanderhitchError if it is not readable."""
    raise TypeError(f"{type(content).__name__} is not the content of a turn")


@read_content.register
def _(content: bytes) -> bytes:
    return content


@read_content.register
def _(content: memoryview) -> bytes:
    return bytes(content)

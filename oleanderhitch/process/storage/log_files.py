"""Read the log's segments at startup."""

import os
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from oleanderhitch.process.storage.exceptions import CorruptLogError
from oleanderhitch.process.storage.files import (
    SEGMENT_PATTERN,
    get_segment_number,
    sync_directory,
)
from oleanderhitch.process.storage.messages import Record
from oleanderhitch.process.storage.records import (
    FRAME_HEADER,
    FRAME_MAGIC,
    decode_records,
    find_frame,
)

# Receives a frame's segment number, records and size in bytes.
FrameCallback = Callable[[int, list[Record], int], None]


class LogEnd(Struct):
    """Last segment, its size, and the number of the last frame."""

    segment_number: int = 0
    n_bytes: int = 0
    last_frame_number: int = 0


def read_log(directory: Path, on_frame: FrameCallback) -> LogEnd:
    """Pass all frames in order to `on_frame` and truncate a torn frame at the end.

    Raise CorruptLogError for any other damage.
    """
    end = LogEnd()
    paths = sorted(directory.glob(SEGMENT_PATTERN))
    for path in paths:
        number = get_segment_number(path)
        if end.segment_number and number != end.segment_number + 1:
            raise CorruptLogError(
                f"{path} follows segment {end.segment_number}, but segment "
                f"{end.segment_number + 1} is missing"
            )
        end.segment_number = number
        end.n_bytes = 0
        _read_segment(path, path == paths[-1], end, on_frame)
    return end


def _read_segment(
    path: Path, is_last: bool, end: LogEnd, on_frame: FrameCallback
) -> None:
    data = path.read_bytes()
    offset = 0
    while offset < len(data):
        try:
            number, frame_end, records = _read_frame(data, offset, str(path))
        except CorruptLogError:
            if not is_last or _has_later_frame(data, offset):
                raise
            _truncate_file(path, offset)
            break
        if end.last_frame_number and number != end.last_frame_number + 1:
            raise CorruptLogError(
                f"{path} has frame {number} at byte {offset}, "
                f"expected frame {end.last_frame_number + 1}"
            )
        end.last_frame_number = number
        on_frame(end.segment_number, records, frame_end - offset)
        offset = frame_end
    end.n_bytes = offset


def _read_frame(data: bytes, offset: int, name: str) -> tuple[int, int, list[Record]]:
    frame = find_frame(data, offset)
    if frame is None:
        raise CorruptLogError(
            f"{name} is damaged at byte {offset}: no whole frame begins there; "
            f"replace this replica from its peers "
            f"(docs/operators/hosts-and-repair.md)"
        )
    number, frame_end = frame
    begin = offset + FRAME_HEADER.size
    return number, frame_end, list(decode_records(data, begin, frame_end, name))


def _has_later_frame(data: bytes, offset: int) -> bool:
    """Return whether a frame was written after the damaged one.

    A frame is written only after the one before it has been synced, so a later frame
    proves that the damage was not caused by a crash during the last write.
    """
    position = data.find(FRAME_MAGIC, offset + 1)
    while position >= 0:
        if find_frame(data, position) is not None:
            return True
        position = data.find(FRAME_MAGIC, position + 1)
    return False


def _truncate_file(path: Path, n_bytes: int) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, n_bytes)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    sync_directory(path.parent)

"""Guard against history files that lose, damage or keep deleted records."""

from pathlib import Path

import pytest

from oleanderhitch.program.exceptions import (
    HistoryCorruptError,
    HistoryUnavailableError,
)
from oleanderhitch.program.history import EndedRequest, make_memory_history
from oleanderhitch.program.history_file import make_file_history
from oleanderhitch.request.states import Outcome


def make_record(program, number):
    """Return a record of about 300 bytes."""
    return EndedRequest(
        *(program, f"r{number}", number, "n", "run", True, "d", b"c" * 50),
        *(
            (Outcome.COMPLETED, Outcome.FAILED)[number % 3 == 2],
            f"{program} {number}".encode(),
            1,
            ("e1",),
            False,
        ),
    )


def test_agrees_with_memory_while_segments_are_rewritten(tmp_path):
    """Guard against records that are lost or mixed up by compaction."""
    file, memory = make_file_history(tmp_path, 2000), make_memory_history()
    for number in range(200):
        for program in ("keep", f"p{number % 7}"):
            record = make_record(program, number)
            file.append(record)
            memory.append(record)
        if number % 5 == 0:
            for store in (file, memory):
                store.delete(f"p{number % 3}")
    for program in ("keep", *(f"p{i}" for i in range(7))):
        assert list(file.read(program)) == list(memory.read(program))
        assert file.read_turns(program) == memory.read_turns(program)
        for number in range(200):
            request = f"r{number}"
            assert file.find(program, request) == memory.find(program, request)


def test_deleted_programs_leave_no_files(tmp_path):
    """Guard against segment files that keep the records of deleted programs."""
    store = make_file_history(tmp_path, 2000)
    for number in range(300):
        store.append(
            make_record("keep", number)
            if number % 50 == 0
            else make_record(f"p{number}", number)
        )
        if number % 50:
            store.delete(f"p{number}")
    assert store.size_bytes < 5 * 2000
    assert len(list(tmp_path.iterdir())) < 5
    assert [r.sequence for r in store.read("keep")] == list(range(0, 300, 50))


def test_damaged_record_is_reported(tmp_path):
    """Guard against a damaged record that is returned as history."""
    store = make_file_history(tmp_path)
    store.append(make_record("p", 1))
    path = next(tmp_path.iterdir())
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    with pytest.raises(HistoryCorruptError, match="checksum"):
        list(store.read("p"))
    path.write_bytes(data[:-1])
    with pytest.raises(HistoryCorruptError, match="bytes, expected"):
        store.find("p", "r1")


def test_leftovers_are_deleted_at_start(tmp_path):
    """Guard against records of an earlier process that may contradict the log."""
    make_file_history(tmp_path).append(make_record("p", 1))
    store = make_file_history(tmp_path)
    assert list(store.read("p")) == []
    assert store.size_bytes == 0


def test_failed_write_is_reported_and_damages_no_record(tmp_path, monkeypatch):
    """Guard against a write that fails on a full disk and damages earlier records."""
    store = make_file_history(tmp_path)
    store.append(make_record("p", 1))
    with monkeypatch.context() as patch:
        patch.setattr("os.pwrite", lambda descriptor, data, offset: 10)
        with pytest.raises(HistoryUnavailableError, match="wrote 10 of"):
            store.append(make_record("p", 2))
    store.append(make_record("p", 3))
    assert [record.sequence for record in store.read("p")] == [1, 3]
    with pytest.raises(HistoryUnavailableError):
        make_file_history(Path(__file__))

"""Guard against publishes that overwrite others and resends with another result."""

from datetime import UTC, datetime

import pytest

from oleanderhitch.process.configuration import core
from oleanderhitch.process.configuration.core import (
    apply,
    make_configuration_state,
    read,
)
from oleanderhitch.process.configuration.messages import (
    GetConfiguration,
    GetPublishHistory,
    Publish,
    PublishConflict,
    Published,
    PublishIdReused,
)
from oleanderhitch.version.documents import make_draft

AT = datetime(2026, 1, 1, tzinfo=UTC)


def make_publish(publish, base, removed=(), author="operator-a", **documents):
    """Return a publish; each keyword argument is the content of a document."""
    drafts = tuple(make_draft(name, value) for name, value in documents.items())
    return Publish(publish, author, base, drafts, tuple(removed), AT)


def test_one_of_two_concurrent_publishes_is_accepted():
    """Guard against two operators who both publish the same version number."""
    state = make_configuration_state()
    apply(make_publish("p0", 0, rules={"queues": [{"name": "a", "n": 1}]}), state)
    first = apply(
        make_publish("p1", 1, rules={"queues": [{"name": "a", "n": 2}]}), state
    )
    second = apply(
        make_publish("p2", 1, rules={"queues": [{"name": "a", "n": 3}]}), state
    )
    assert first == Published("p1", 2, AT)
    assert isinstance(second, PublishConflict)
    assert second.accepted_version == 2
    assert [record.publish for record in second.records] == ["p1"]
    assert second.records[0].changes == ("rules: queues a n 1 -> 2",)
    assert second.difference == ("rules: queues a n 2 -> 3",)
    assert "2" in state.documents["rules"].content


def test_resend_gets_the_first_result():
    """Guard against a resent publish that is applied or evaluated again.

    The operator resends a publish if its result was lost.
    """
    state = make_configuration_state()
    publish = make_publish("p1", 0, rules={"a": 1})
    conflicting = make_publish("p2", 0, rules={"a": 2})
    first, conflict = apply(publish, state), apply(conflicting, state)
    apply(make_publish("p3", 1, rules={"a": 3}), state)
    assert apply(publish, state) == first
    assert apply(conflicting, state) == conflict
    assert state.version == 2


def test_reused_publish_id():
    """Guard against acknowledging content that was never published."""
    state = make_configuration_state()
    apply(make_publish("p1", 0, rules={"a": 1}), state)
    assert apply(make_publish("p1", 0, rules={"a": 2}), state) == PublishIdReused("p1")
    assert state.version == 1


def test_base_version_above_the_accepted_version():
    """Guard against an operator who publishes the files of another deployment."""
    state = make_configuration_state()
    result = apply(make_publish("p1", 7, rules={"a": 1}), state)
    assert isinstance(result, PublishConflict)
    assert state.version == 0


def test_publish_without_a_change_makes_no_version():
    """Guard against pushing a version without changes to all nodes."""
    state = make_configuration_state()
    apply(make_publish("p1", 0, rules={"a": 1, "b": 2}), state)
    assert apply(make_publish("p2", 1, rules={"b": 2, "a": 1}), state).version == 1
    assert state.version == 1


def test_removed_and_added_again():
    """Guard against a node that keeps a removed document or lacks a re-added one."""
    state = make_configuration_state()
    apply(make_publish("p1", 0, rules={}, more={"a": 1}), state)
    apply(make_publish("p2", 1, removed=["more", "none"]), state)
    result = read(GetConfiguration(1), state)
    assert (result.version, result.documents, result.removed) == (2, (), ("more",))
    apply(make_publish("p3", 2, more={"a": 1}), state)
    result = read(GetConfiguration(1), state)
    assert [(doc.name, doc.revision) for doc in result.documents] == [("more", 3)]
    assert result.removed == ()


def test_only_later_documents_are_read():
    """Guard against sending all documents when one has changed."""
    state = make_configuration_state()
    apply(make_publish("p1", 0, a={}, b={}), state)
    apply(make_publish("p2", 1, b={"x": 1}), state)
    assert [doc.name for doc in read(GetConfiguration(1), state).documents] == ["b"]
    assert len(read(GetConfiguration(0), state).documents) == 2


def test_history_is_bounded_and_newest_first(monkeypatch):
    """Guard against a state that grows without bound."""
    monkeypatch.setattr(core, "N_RECORDS_LIMIT", 3)
    monkeypatch.setattr(core, "N_RESULTS_LIMIT", 4)
    state = make_configuration_state()
    for number in range(10):
        apply(make_publish(f"p{number}", number, rules={"a": number}), state)
    records = read(GetPublishHistory(100), state).records
    assert [record.version for record in records] == [10, 9, 8]
    assert list(state.results) == ["p6", "p7", "p8", "p9"]


def test_resend_after_its_result_is_dropped(monkeypatch):
    """Guard against applying a publish again after its stored result is dropped."""
    monkeypatch.setattr(core, "N_RESULTS_LIMIT", 1)
    state = make_configuration_state()
    publish = make_publish("p0", 0, rules={"a": 0})
    apply(publish, state)
    apply(make_publish("p1", 1, rules={"a": 1}), state)
    assert isinstance(apply(publish, state), PublishConflict)
    assert state.version == 2


def test_a_read_cannot_publish():
    """Guard against a change that bypasses the log."""
    with pytest.raises(TypeError):
        read(make_publish("p1", 0, rules={}), make_configuration_state())

"""Decide which publishes are accepted; deterministic on every replica.

The content of documents is not validated here: checks may differ between releases, and
a replica that replays its log under a newer release must not refuse what was accepted
before. Documents are validated before a command is proposed.
"""

import hashlib
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.configuration.messages import (
    ConfigurationAccepted,
    ConfigurationAnswer,
    GetConfiguration,
    GetPublishHistory,
    Publish,
    PublishConflict,
    Published,
    PublishHistory,
    PublishIdReused,
    PublishRecord,
)
from oleanderhitch.values import Value
from oleanderhitch.version.diff import diff_documents, truncate_lines
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import (
    NO_VERSION,
    ConfigurationVersion,
    DocumentName,
    PublishId,
)

# At 4,400 changes a day, stored results are kept for a day to deduplicate resends, and
# records for two hours to explain conflicts. A resend whose result was deleted has an
# outdated base version and gets a conflict, so it is never applied twice.
N_RESULTS_LIMIT = 5_000
N_RECORDS_LIMIT = 400
RECORD_LIMIT_LINES = 20
CONFLICT_LIMIT_LINES = 50
CONFLICT_LIMIT_RECORDS = 20


class StoredAnswer(Value, frozen=True):
    """The first result of a publish, with a digest that identifies its content."""

    publish: PublishId
    digest: str
    answer: Published | PublishConflict


class ConfigurationState(Struct):
    """The accepted documents and the latest publishes.

    `removals` maps the names of removed documents to the versions that removed them.
    `results` is ordered by age and deduplicates resent publishes.
    """

    version: ConfigurationVersion = NO_VERSION
    documents: dict[DocumentName, ConfigurationDocument] = field(default_factory=dict)
    removals: dict[DocumentName, ConfigurationVersion] = field(default_factory=dict)
    records: list[PublishRecord] = field(default_factory=list)
    results: dict[PublishId, StoredAnswer] = field(default_factory=dict)


def make_configuration_state() -> ConfigurationState:
    """Return a state without any published version."""
    return ConfigurationState()


@singledispatch
def apply(command: object, state: ConfigurationState) -> object:
    """Apply a command and return its result."""
    raise TypeError(f"configuration group has no command {type(command).__name__}")


@singledispatch
def read(query: object, state: ConfigurationState) -> object:
    """Return the result of a read without changing the state."""
    raise TypeError(f"configuration group has no read {type(query).__name__}")


@apply.register
def _(command: Publish, state: ConfigurationState) -> object:
    digest = _make_digest(command)
    stored = state.results.get(command.publish)
    if stored is not None:
        if stored.digest != digest:
            return PublishIdReused(command.publish)
        return stored.answer
    if command.base_version == state.version:
        result: Published | PublishConflict = _apply_changes(command, state)
    else:
        result = _make_conflict(command, state)
    state.results[command.publish] = StoredAnswer(command.publish, digest, result)
    while len(state.results) > N_RESULTS_LIMIT:
        del state.results[next(iter(state.results))]
    return result


@read.register
def _(query: GetConfiguration, state: ConfigurationState) -> object:
    documents, removed = list_changes(
        state.documents, state.removals, after=query.after
    )
    return ConfigurationAnswer(state.version, documents, removed)


@read.register
def _(query: GetPublishHistory, state: ConfigurationState) -> object:
    records = tuple(reversed(state.records))[: max(0, query.n_limit)]
    return PublishHistory(state.version, records)


def make_configuration_accepted(state: ConfigurationState) -> ConfigurationAccepted:
    """Return the message that reports the accepted version to other tasks."""
    return ConfigurationAccepted(
        state.version,
        tuple(state.documents.values()),
        tuple(state.removals.items()),
    )


def list_changes(
    documents: dict[DocumentName, ConfigurationDocument],
    removals: dict[DocumentName, ConfigurationVersion],
    after: ConfigurationVersion,
) -> tuple[tuple[ConfigurationDocument, ...], tuple[DocumentName, ...]]:
    """Return the documents changed and the names removed since a version."""
    changed = tuple(doc for doc in documents.values() if doc.revision > after)
    removed = tuple(name for name, version in removals.items() if version > after)
    return changed, removed


def _apply_changes(command: Publish, state: ConfigurationState) -> Published:
    removed = _list_removed(command, state)
    drafts = [
        draft
        for draft in command.documents
        if draft.content != _find_content(state, draft.name)
    ]
    if not removed and not drafts:
        return Published(command.publish, state.version, command.at)
    changes = truncate_lines(_list_difference_lines(command, state), RECORD_LIMIT_LINES)
    state.version = ConfigurationVersion(state.version + 1)
    for name in removed:
        del state.documents[name]
        state.removals[name] = state.version
    for draft in drafts:
        state.removals.pop(draft.name, None)
        state.documents[draft.name] = ConfigurationDocument(
            draft.name, state.version, draft.content
        )
    state.records.append(
        PublishRecord(
            state.version, command.publish, command.author, command.at, changes
        )
    )
    del state.records[:-N_RECORDS_LIMIT]
    return Published(command.publish, state.version, command.at)


def _make_conflict(command: Publish, state: ConfigurationState) -> PublishConflict:
    later = [rec for rec in state.records if rec.version > command.base_version]
    return PublishConflict(
        command.publish,
        state.version,
        command.base_version,
        tuple(later[-CONFLICT_LIMIT_RECORDS:]),
        truncate_lines(_list_difference_lines(command, state), CONFLICT_LIMIT_LINES),
    )


def _list_removed(command: Publish, state: ConfigurationState) -> list[DocumentName]:
    written = {draft.name for draft in command.documents}
    return [
        name
        for name in dict.fromkeys(command.removed)
        if name in state.documents and name not in written
    ]


def _list_difference_lines(command: Publish, state: ConfigurationState) -> list[str]:
    lines: list[str] = []
    for name in _list_removed(command, state):
        lines.append(f"{name}: removed")
    for draft in command.documents:
        before = _find_content(state, draft.name)
        lines.extend(
            diff_documents(draft.name, before, draft.content, CONFLICT_LIMIT_LINES)
        )
    return lines


def _find_content(state: ConfigurationState, name: DocumentName) -> str | None:
    document = state.documents.get(name)
    return None if document is None else document.content


def _make_digest(command: Publish) -> str:
    digest = hashlib.sha256(f"{command.base_version}".encode())
    for name in command.removed:
        digest.update(f"-{len(name)}:{name}".encode())
    for draft in command.documents:
        digest.update(f"+{len(draft.name)}:{draft.name}".encode())
        digest.update(f"{len(draft.content)}:{draft.content}".encode())
    return digest.hexdigest()

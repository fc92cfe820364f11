"""Define the commands, reads and results of the configuration group."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.version.checks import Fault
from oleanderhitch.version.documents import ConfigurationDocument, DocumentDraft
from oleanderhitch.version.ids import ConfigurationVersion, DocumentName, PublishId


@dataclass(frozen=True, slots=True)
class Publish:
    """Replace and remove documents, if the base version is still the accepted one.

    Documents that are not named stay as they are. A resend carries the same
    publish id and gets the first answer.
    """

    publish: PublishId
    author: str
    base_version: ConfigurationVersion
    documents: tuple[DocumentDraft, ...]
    removed: tuple[DocumentName, ...]
    at: datetime


@dataclass(frozen=True, slots=True)
class GetConfiguration:
    """Read the accepted version with the documents that changed after another."""

    after: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class GetPublishHistory:
    """Read the latest accepted versions, newest first."""

    n_limit: int


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """Record who made a version and what it changed."""

    version: ConfigurationVersion
    publish: PublishId
    author: str
    at: datetime
    changes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Published:
    """Answer that a publish is accepted as a version."""

    publish: PublishId
    version: ConfigurationVersion
    at: datetime


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Answer that another publish came first; nothing was changed.

    The records say what was accepted after the base version, the difference
    what the refused publish would change in the accepted version.
    """

    publish: PublishId
    accepted_version: ConfigurationVersion
    base_version: ConfigurationVersion
    records: tuple[PublishRecord, ...]
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PublishRefused:
    """Answer that the documents have faults; nothing was recorded."""

    publish: PublishId
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class PublishIdReused:
    """Answer that the publish id belongs to a publish with another content."""

    publish: PublishId


@dataclass(frozen=True, slots=True)
class ConfigurationCallRefused:
    """Answer that the group knows no such command or read."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """Answer the accepted version and what changed after the one asked for."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class PublishHistory:
    """Answer the latest accepted versions, newest first."""

    version: ConfigurationVersion
    records: tuple[PublishRecord, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """Tell other tasks of this process about the accepted version.

    It carries all documents, and for each removed name the version that
    removed it; the documents are shared, not copied.
    """

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removals: tuple[tuple[DocumentName, ConfigurationVersion], ...]


PublishAnswer = Published | PublishConflict | PublishRefused | PublishIdReused

MESSAGES: tuple[type, ...] = (
    Publish,
    GetConfiguration,
    GetPublishHistory,
    Published,
    PublishConflict,
    PublishRefused,
    PublishIdReused,
    ConfigurationCallRefused,
    ConfigurationAnswer,
    PublishHistory,
)

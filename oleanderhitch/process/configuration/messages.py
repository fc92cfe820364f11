"""Define the commands, reads and results of the configuration group."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.version.checks import Fault
from oleanderhitch.version.documents import ConfigurationDocument, DocumentDraft
from oleanderhitch.version.ids import ConfigurationVersion, DocumentName, PublishId


@dataclass(frozen=True, slots=True)
class Publish:
    """Replaces and removes documents if the base version is the accepted one.

    Documents that are not named are left unchanged. A resend has the same publish id
    and gets the first result again.
    """

    publish: PublishId
    author: str
    base_version: ConfigurationVersion
    documents: tuple[DocumentDraft, ...]
    removed: tuple[DocumentName, ...]
    at: datetime


@dataclass(frozen=True, slots=True)
class GetConfiguration:
    """Reads the accepted version and what changed since the version `after`."""

    after: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class GetPublishHistory:
    """Reads the records of the latest `n_limit` accepted versions."""

    n_limit: int


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """Who published a version, when, and a readable list of what it changed."""

    version: ConfigurationVersion
    publish: PublishId
    author: str
    at: datetime
    changes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Published:
    """Reports that a publish was accepted, as the given version."""

    publish: PublishId
    version: ConfigurationVersion
    at: datetime


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Reports that the base version is not the accepted one; nothing was changed.

    The records list what was accepted after the base version. The difference lists what
    the refused publish would change in the accepted version.
    """

    publish: PublishId
    accepted_version: ConfigurationVersion
    base_version: ConfigurationVersion
    records: tuple[PublishRecord, ...]
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PublishRefused:
    """Reports that the documents have faults; the publish was not proposed."""

    publish: PublishId
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class PublishIdReused:
    """Reports that the publish id was used before for other content."""

    publish: PublishId


@dataclass(frozen=True, slots=True)
class ConfigurationCallRefused:
    """Reports that a command or read is malformed or not supported."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """Reports the accepted version and what changed since the requested version."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class PublishHistory:
    """Reports the accepted version and the latest records, newest first."""

    version: ConfigurationVersion
    records: tuple[PublishRecord, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """Reports the accepted version to other tasks of this process.

    It has all documents, and for each removed name the version that removed it. The
    documents are shared with the sender, not copied.
    """

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removals: tuple[tuple[DocumentName, ConfigurationVersion], ...]


PublishResult = Published | PublishConflict | PublishRefused | PublishIdReused

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

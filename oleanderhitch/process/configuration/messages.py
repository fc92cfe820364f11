"""Define the commands, reads and results of the configuration group."""

from datetime import datetime

from oleanderhitch.values import Value
from oleanderhitch.version.checks import Fault
from oleanderhitch.version.documents import ConfigurationDocument, DocumentDraft
from oleanderhitch.version.ids import ConfigurationVersion, DocumentName, PublishId


class Publish(Value, frozen=True):
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


class GetConfiguration(Value, frozen=True):
    """Reads the accepted version and what changed since the version `after`."""

    after: ConfigurationVersion


class GetPublishHistory(Value, frozen=True):
    """Reads the records of the latest `n_limit` accepted versions."""

    n_limit: int


class PublishRecord(Value, frozen=True):
    """Who published a version, when, and a readable list of what it changed."""

    version: ConfigurationVersion
    publish: PublishId
    author: str
    at: datetime
    changes: tuple[str, ...]


class Published(Value, frozen=True, tag=True):
    """Reports that a publish was accepted, as the given version."""

    publish: PublishId
    version: ConfigurationVersion
    at: datetime


class PublishConflict(Value, frozen=True, tag=True):
    """Reports that the base version is not the accepted one; nothing was changed.

    The records list what was accepted after the base version. The difference lists what
    the refused publish would change in the accepted version.
    """

    publish: PublishId
    accepted_version: ConfigurationVersion
    base_version: ConfigurationVersion
    records: tuple[PublishRecord, ...]
    difference: tuple[str, ...]


class PublishRefused(Value, frozen=True):
    """Reports that the documents have faults; the publish was not proposed."""

    publish: PublishId
    faults: tuple[Fault, ...]


class PublishIdReused(Value, frozen=True):
    """Reports that the publish id was used before for other content."""

    publish: PublishId


class ConfigurationCallRefused(Value, frozen=True):
    """Reports that a command or read is malformed or not supported."""

    reason: str


class ConfigurationAnswer(Value, frozen=True):
    """Reports the accepted version and what changed since the requested version."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


class PublishHistory(Value, frozen=True):
    """Reports the accepted version and the latest records, newest first."""

    version: ConfigurationVersion
    records: tuple[PublishRecord, ...]


class ConfigurationAccepted(Value, frozen=True):
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

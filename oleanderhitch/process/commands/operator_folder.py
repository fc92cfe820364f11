"""Read and write the files of an operator's folder."""

import os
from pathlib import Path

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.process.configuration.messages import ConfigurationAnswer, Publish
from oleanderhitch.version.compile import check_documents
from oleanderhitch.version.diff import diff_documents
from oleanderhitch.version.documents import DocumentDraft
from oleanderhitch.version.exceptions import InvalidConfigurationError
from oleanderhitch.version.ids import NO_VERSION, ConfigurationVersion, DocumentName

# Version that the declarations are based on; kept in version control.
BASE_VERSION_FILE = "base-version"
# Publish whose result is unknown; it is resent unchanged.
PENDING_PUBLISH_FILE = ".pending-publish"
DOCUMENT_DIFFERENCE_LIMIT_LINES = 200

_CODEC = make_codec([Publish])


def read_valid_drafts(folder: Path) -> tuple[DocumentDraft, ...]:
    """Return a folder's documents; raise InvalidConfigurationError with all faults."""
    drafts = read_folder(folder)
    faults = check_documents(drafts)
    if faults:
        raise InvalidConfigurationError(faults)
    return drafts


def read_base_version(folder: Path) -> ConfigurationVersion:
    """Return the version that the declarations are based on, or NO_VERSION.

    Raise InvalidInputError if the file with the version is malformed.
    """
    path = folder / BASE_VERSION_FILE
    if not path.exists():
        return NO_VERSION
    text = path.read_text(encoding="utf-8").strip()
    if not (text.isascii() and text.isdecimal()):
        raise InvalidInputError(f"expected a version number in {path}, got {text!r}")
    return ConfigurationVersion(int(text))


def write_base_version(folder: Path, version: ConfigurationVersion) -> None:
    """Record the version that the declarations are based on."""
    _write_atomically(folder / BASE_VERSION_FILE, f"{version}\n".encode())


def find_pending_publish(folder: Path) -> Publish | None:
    """Return the publish whose result is unknown, if there is one.

    Raise InvalidInputError if the file with the publish is malformed.
    """
    path = folder / PENDING_PUBLISH_FILE
    if not path.exists():
        return None
    try:
        message = _CODEC.decode(path.read_bytes())
    except MalformedFrameError as error:
        raise InvalidInputError(
            f"expected an unanswered publish in {path}: {error}; remove the file and "
            "look at 'oleanderhitch history'"
        ) from None
    assert isinstance(message, Publish)
    return message


def write_pending_publish(folder: Path, publish: Publish) -> None:
    """Store a publish until its result is known."""
    _write_atomically(folder / PENDING_PUBLISH_FILE, _CODEC.encode(publish))


def remove_pending_publish(folder: Path) -> None:
    """Delete the stored publish once its result is known."""
    (folder / PENDING_PUBLISH_FILE).unlink(missing_ok=True)


def find_changes(
    drafts: tuple[DocumentDraft, ...], accepted: ConfigurationAnswer
) -> tuple[tuple[DocumentDraft, ...], tuple[DocumentName, ...]]:
    """Return the drafts that differ from accepted documents, and names to remove."""
    accepted_contents = {
        document.name: document.content for document in accepted.documents
    }
    changed = tuple(
        draft for draft in drafts if accepted_contents.get(draft.name) != draft.content
    )
    draft_names = {draft.name for draft in drafts}
    return changed, tuple(name for name in accepted_contents if name not in draft_names)


def list_differences(
    drafts: tuple[DocumentDraft, ...], accepted: ConfigurationAnswer
) -> list[str]:
    """Return the changes that the drafts would make, one line each."""
    accepted_contents = {
        document.name: document.content for document in accepted.documents
    }
    changed, removed = find_changes(drafts, accepted)
    lines = [f"{name}: removed" for name in removed]
    for draft in changed:
        accepted_content = accepted_contents.get(draft.name)
        lines.extend(
            diff_documents(
                draft.name,
                accepted_content,
                draft.content,
                DOCUMENT_DIFFERENCE_LIMIT_LINES,
            )
        )
    return lines


def _write_atomically(path: Path, data: bytes) -> None:
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)

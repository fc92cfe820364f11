"""Keep what an operator's folder knows besides declarations."""

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

# The version that the files were last in step with; kept in version control.
BASE_FILE = "base-version"
# A publish whose answer is not known; it is sent again as it is.
PENDING_FILE = ".pending-publish"
DIFFERENCE_LIMIT_LINES = 200

_CODEC = make_codec([Publish])


def read_checked(folder: Path) -> tuple[DocumentDraft, ...]:
    """Return the documents of a folder; raise with all faults."""
    drafts = read_folder(folder)
    faults = check_documents(drafts)
    if faults:
        raise InvalidConfigurationError(faults)
    return drafts


def read_base(folder: Path) -> ConfigurationVersion:
    """Return the version that the files were last in step with, or no version."""
    path = folder / BASE_FILE
    if not path.exists():
        return NO_VERSION
    text = path.read_text(encoding="utf-8").strip()
    if not (text.isascii() and text.isdecimal()):
        raise InvalidInputError(f"expected a version number in {path}, got {text!r}")
    return ConfigurationVersion(int(text))


def write_base(folder: Path, version: ConfigurationVersion) -> None:
    """Note the version that the files are in step with."""
    _write(folder / BASE_FILE, f"{version}\n".encode())


def find_pending(folder: Path) -> Publish | None:
    """Return the publish whose answer is not known, if there is one."""
    path = folder / PENDING_FILE
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


def write_pending(folder: Path, publish: Publish) -> None:
    """Keep a publish until its answer is known."""
    _write(folder / PENDING_FILE, _CODEC.encode(publish))


def remove_pending(folder: Path) -> None:
    """Forget a publish whose answer is known."""
    (folder / PENDING_FILE).unlink(missing_ok=True)


def pick_changes(
    drafts: tuple[DocumentDraft, ...], accepted: ConfigurationAnswer
) -> tuple[tuple[DocumentDraft, ...], tuple[DocumentName, ...]]:
    """Return the drafts that differ from the accepted documents, and names to drop."""
    contents = {document.name: document.content for document in accepted.documents}
    changed = tuple(
        draft for draft in drafts if contents.get(draft.name) != draft.content
    )
    names = {draft.name for draft in drafts}
    return changed, tuple(name for name in contents if name not in names)


def list_differences(
    drafts: tuple[DocumentDraft, ...], accepted: ConfigurationAnswer
) -> list[str]:
    """Return what the drafts would change, one line a change."""
    contents = {document.name: document.content for document in accepted.documents}
    changed, removed = pick_changes(drafts, accepted)
    lines = [f"{name}: removed" for name in removed]
    for draft in changed:
        before = contents.get(draft.name)
        lines.extend(
            diff_documents(draft.name, before, draft.content, DIFFERENCE_LIMIT_LINES)
        )
    return lines


def _write(path: Path, data: bytes) -> None:
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)

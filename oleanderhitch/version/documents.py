"""Define a declaration as it travels and is stored."""

import json
from dataclasses import dataclass

from oleanderhitch.version.ids import ConfigurationVersion, DocumentName
from oleanderhitch.version.states import DocumentKind


@dataclass(frozen=True, slots=True)
class DocumentDraft:
    """Hold a declaration that is not accepted yet; the content is JSON text."""

    name: DocumentName
    content: str


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """Hold an accepted declaration.

    The revision is the version that last changed the document, so a node at an
    older version lacks exactly the documents with a higher revision.
    """

    name: DocumentName
    revision: ConfigurationVersion
    content: str


Document = DocumentDraft | ConfigurationDocument


def make_draft(name: str, declaration: object) -> DocumentDraft:
    """Return a draft whose content does not depend on the order of its keys."""
    content = json.dumps(
        declaration, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return DocumentDraft(DocumentName(name), content)


def find_kind(name: DocumentName) -> DocumentKind | None:
    """Return what a document declares, or None for a name of no known kind."""
    stem = name.split(".", 1)[0]
    return next((kind for kind in DocumentKind if kind.value == stem), None)

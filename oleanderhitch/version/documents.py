"""Define configuration documents as they are transmitted and stored."""

import json

from oleanderhitch.values import Value
from oleanderhitch.version.ids import ConfigurationVersion, DocumentName
from oleanderhitch.version.states import DocumentKind


class DocumentDraft(Value, frozen=True):
    """A document that is not accepted yet; `content` is JSON."""

    name: DocumentName
    content: str


class ConfigurationDocument(Value, frozen=True):
    """An accepted document; `content` is JSON.

    `revision` is the configuration version that last changed the document, so a node at
    an older version lacks exactly the documents with a higher revision.
    """

    name: DocumentName
    revision: ConfigurationVersion
    content: str


Document = DocumentDraft | ConfigurationDocument


def make_draft(name: str, declaration: object) -> DocumentDraft:
    """Return a draft with canonical JSON, independent of the order of keys."""
    content = json.dumps(
        declaration, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return DocumentDraft(DocumentName(name), content)


def find_kind(name: DocumentName) -> DocumentKind | None:
    """Return the kind of a document, or None if its name has no known kind."""
    stem = name.split(".", 1)[0]
    return next((kind for kind in DocumentKind if kind.value == stem), None)

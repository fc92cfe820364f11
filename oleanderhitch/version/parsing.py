"""Parse a document into typed declarations and list its schema faults."""

import re
from typing import Any

from pydantic import TypeAdapter, ValidationError

from oleanderhitch.values import Value
from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.documents import Document, find_kind
from oleanderhitch.version.ids import DocumentName
from oleanderhitch.version.inventory import Inventory
from oleanderhitch.version.names import NAME_PATTERN
from oleanderhitch.version.rules import Rules
from oleanderhitch.version.states import DocumentKind

# Every node receives each changed document. With 4 KB/s of control traffic per node and
# 4,400 changes a day, a change may take 78 KB on average. The limit keeps a single
# document well below the frame size limit.
DOCUMENT_LIMIT_CHARACTERS = 1_000_000

Declarations = Inventory | Rules


class ParsedDocument(Value, frozen=True):
    """A document and its declarations, which are None if it has faults."""

    name: DocumentName
    content: str
    declarations: Declarations | None
    faults: tuple[Fault, ...]


_ADAPTERS: dict[DocumentKind, TypeAdapter[Any]] = {
    DocumentKind.INVENTORY: TypeAdapter(Inventory),
    DocumentKind.RULES: TypeAdapter(Rules),
}

# Check numbers by pydantic's error type; other types are E004, or E001 at the root.
_CHECK_NUMBERS = {
    "unexpected_keyword_argument": "E002",
    "missing": "E003",
    "greater_than": "E005",
    "greater_than_equal": "E005",
    "less_than_equal": "E005",
    "finite_number": "E005",
    "enum": "E005",
    "string_pattern_mismatch": "E006",
    "value_error": "E007",
}


def parse_document(document: Document) -> ParsedDocument:
    """Return the declarations of a document, or all its schema faults."""
    kind = find_kind(document.name)
    if kind is None or not re.fullmatch(NAME_PATTERN, document.name):
        return _reject(
            document,
            make_fault(
                "documents.E001",
                document.name,
                document.name,
                "KIND or KIND.PART, where KIND is "
                + " or ".join(document_kind.value for document_kind in DocumentKind)
                + " and PART has letters, digits, '.', '_' and '-'",
            ),
        )
    if len(document.content) > DOCUMENT_LIMIT_CHARACTERS:
        return _reject(
            document,
            make_fault(
                "documents.E006",
                document.name,
                f"{len(document.content)} characters",
                f"at most {DOCUMENT_LIMIT_CHARACTERS}",
            ),
        )
    try:
        declarations = _ADAPTERS[kind].validate_json(document.content)
    except ValidationError as error:
        faults = tuple(
            _make_schema_fault(kind, document.name, detail)
            for detail in error.errors(include_url=False)
        )
        return ParsedDocument(document.name, document.content, None, faults)
    return ParsedDocument(document.name, document.content, declarations, ())


def _reject(document: Document, fault: Fault) -> ParsedDocument:
    return ParsedDocument(document.name, document.content, None, (fault,))


def _make_schema_fault(kind: DocumentKind, name: DocumentName, detail: Any) -> Fault:
    path = detail["loc"]
    number = _CHECK_NUMBERS.get(detail["type"], "E004" if path else "E001")
    value = detail["input"]
    expected = str(detail["msg"])
    if number == "E002":
        value, expected = str(path[-1]), "only known keys"
    if number == "E003":
        value, expected = "nothing", f"the key {path[-1]}"
    if number == "E007":
        expected = f"an IP number and a port ({detail['ctx']['error']})"
    return make_fault(
        f"{kind.value}.{number}", f"{name}: {_format_path(path)}", value, expected
    )


def _format_path(path: tuple[str | int, ...]) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".") or "document"

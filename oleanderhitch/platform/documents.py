"""Conversion of parsed JSON documents to typed values."""

import json
from typing import Any, TypeVar

import msgspec

from oleanderhitch.exceptions import InvalidInputError

Document = TypeVar("Document")


def structure_document(parsed: Any, kind: type[Document], name: str) -> Document:
    """Return a document as a dataclass; raise InvalidInputError listing the faults."""
    if not isinstance(parsed, dict):
        raise InvalidInputError(f"{name} is no object")
    _check_texts(parsed, name)
    try:
        return msgspec.convert(parsed, kind)
    except msgspec.ValidationError:
        return _structure_or_explain(parsed, kind, name)


def _check_texts(parsed: Any, name: str) -> None:
    """Raise InvalidInputError if a text has a character that no message can hold."""
    try:
        # JSON can escape half of a surrogate pair.
        json.dumps(parsed, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise InvalidInputError(f"{name} has half of a surrogate pair") from None


def _structure_or_explain(parsed: Any, kind: type[Document], name: str) -> Document:
    # Lists all faults and converts numbers in texts, but takes as long to import as
    # half of all other modules.
    import cattrs

    try:
        return cattrs.Converter().structure(parsed, kind)
    except cattrs.BaseValidationError as error:
        faults = "; ".join(cattrs.transform_error(error, path=name))
        raise InvalidInputError(faults) from None

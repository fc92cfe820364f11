"""Parse and validate callers' HTTP requests."""

import json
import uuid
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import xxhash

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.intake.messages import IncomingCall
from oleanderhitch.process.tracing.tracer import extract_trace
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import ModelWork, ServiceWork, Work
from oleanderhitch.request.naming import make_request_id
from oleanderhitch.request.states import Reason

BODY_LIMIT_BYTES = 1024 * 1024
DEFAULT_DEADLINE_MS = 60_000
DEADLINE_LIMIT_MS = 3_600_000
DEFAULT_OUTPUT_TOKENS = 512
OUTPUT_LIMIT_TOKENS = 32_768
# Larger numbers do not fit the 64 bits of a record.
N_DIGITS_MAX = 18
MODEL_CALL_PATH = "/v1/chat/completions"
SERVICE_CALL_PATH = "/v1/services/"
ROLES = ("system", "user", "assistant", "tool")

Headers = Mapping[str, str]


def parse_model_call(headers: Headers, body: bytes) -> tuple[IncomingCall, bool]:
    """Return the call and whether its answer is streamed; raise CallRefusedError."""
    document = parse_json_object(body)
    model = _get_string(document, "model")
    messages = _get_messages(document)
    max_tokens = get_integer(
        document, "max_tokens", DEFAULT_OUTPUT_TOKENS, 1, OUTPUT_LIMIT_TOKENS
    )
    is_streamed = document.get("stream", False)
    if not isinstance(is_streamed, bool):
        raise _make_field_error("stream", "true or false", is_streamed)
    work = ModelWork(model, messages, max_tokens)
    return _make_call(headers, work, body), is_streamed


def parse_service_call(
    headers: Headers, service: str, operation: str, body: bytes
) -> IncomingCall:
    """Return the call of a plain service; raise CallRefusedError."""
    _check_body_size(body)
    return _make_call(headers, ServiceWork(service, operation, body), body)


def parse_call(method: str, path: str, headers: Headers, body: bytes) -> IncomingCall:
    """Return the call that a request makes; raise CallRefusedError."""
    if method == "POST" and path == MODEL_CALL_PATH:
        return parse_model_call(headers, body)[0]
    service, _, operation = path.removeprefix(SERVICE_CALL_PATH).partition("/")
    is_service_call = path.startswith(SERVICE_CALL_PATH) and service and operation
    if method != "POST" or not is_service_call or "/" in operation:
        raise CallRefusedError(Reason.NOT_FOUND, "no call has this method and path")
    return parse_service_call(headers, service, operation, body)


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body; raise CallRefusedError."""
    _check_body_size(body)
    try:
        document = json.loads(body or b"{}")
        if b"\\u" in body:
            # Half of an escaped surrogate pair can't be sent to other processes.
            json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise CallRefusedError(
            Reason.BAD_REQUEST, f"body is not JSON: {error}"
        ) from None
    if not isinstance(document, dict):
        raise CallRefusedError(
            Reason.BAD_REQUEST,
            f"body must be a JSON object, got {type(document).__name__}",
        )
    return document


def parse_request_id(program: ProgramId, key: str) -> RequestId:
    """Return the request id of a call; raise CallRefusedError for a malformed key."""
    try:
        return make_request_id(program, key)
    except InvalidInputError as error:
        raise CallRefusedError(Reason.BAD_REQUEST, str(error)) from None


def get_header(headers: Headers, name: str) -> str:
    """Return a required header; raise CallRefusedError if it is missing."""
    value = headers.get(name, "")
    if not value:
        raise CallRefusedError(Reason.BAD_REQUEST, f"header {name} is missing")
    return value


def get_integer(
    document: Mapping[str, Any], name: str, default: int, minimum: int, maximum: int
) -> int:
    """Return an integer field of a body; raise CallRefusedError if out of bounds."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _make_field_error(name, "a whole number", value)
    if not minimum <= value <= maximum:
        raise _make_field_error(
            name, f"a whole number from {minimum} to {maximum}", value
        )
    return value


def _make_call(headers: Headers, work: Work, body: bytes) -> IncomingCall:
    program = ProgramId(get_header(headers, "X-Program"))
    return IncomingCall(
        parse_request_id(program, headers.get("Idempotency-Key") or uuid.uuid4().hex),
        AccountId(get_header(headers, "X-Account")),
        program,
        SequenceNumber(_get_header_integer(headers, "X-Sequence", None)),
        work,
        # The digest is stored; it depends on the module path and name of the class.
        xxhash.xxh3_128_hexdigest(repr(type(work)).encode() + body),
        _get_caller_timeout(headers),
        bool(headers.get("Idempotency-Key")),
        extract_trace(headers),
    )


def _get_caller_timeout(headers: Headers) -> timedelta:
    number = _get_header_integer(headers, "X-Deadline-Ms", DEFAULT_DEADLINE_MS)
    if number > DEADLINE_LIMIT_MS:
        raise CallRefusedError(
            Reason.BAD_REQUEST,
            f"header X-Deadline-Ms must be at most {DEADLINE_LIMIT_MS}, got {number}",
        )
    return timedelta(milliseconds=number)


def _get_header_integer(headers: Headers, name: str, default: int | None) -> int:
    text = headers.get(name, "")
    if not text and default is not None:
        return default
    is_number = text.isascii() and text.isdecimal() and len(text) <= N_DIGITS_MAX
    if not is_number or int(text) == 0:
        raise CallRefusedError(
            Reason.BAD_REQUEST,
            f"header {name} must be a whole number from 1 with at most {N_DIGITS_MAX} "
            f"digits, got {text[:80]!r}",
        )
    return int(text)


def _check_body_size(body: bytes) -> None:
    if len(body) > BODY_LIMIT_BYTES:
        raise CallRefusedError(
            Reason.BODY_TOO_LARGE,
            f"body is larger than {BODY_LIMIT_BYTES} bytes; send only the new turn",
        )


def _get_string(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _make_field_error(name, "a text that is not empty", value)
    return value


def _get_messages(document: Mapping[str, Any]) -> tuple[dict[str, str], ...]:
    value = document.get("messages")
    if not isinstance(value, list) or not value:
        raise _make_field_error("messages", "a list that is not empty", value)
    return tuple(_get_message(message) for message in value)


def _get_message(message: object) -> dict[str, str]:
    if not isinstance(message, dict):
        raise _make_field_error("messages", "objects with role and content", message)
    role = message.get("role")
    content = message.get("content")
    if role not in ROLES:
        raise _make_field_error("role", f"one of {', '.join(ROLES)}", role)
    if not isinstance(content, str):
        raise _make_field_error("content", "a text", content)
    return {"role": role, "content": content}


def _make_field_error(name: str, expected: str, value: object) -> CallRefusedError:
    return CallRefusedError(
        Reason.BAD_REQUEST, f"{name} must be {expected}, got {str(value)[:80]!r}"
    )

"""Derive the properties of a call's work that admission uses, by kind of work."""

from functools import singledispatch

from oleanderhitch.request.messages import ModelWork, ServiceWork
from oleanderhitch.request.states import Reason
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import OperationName, ServiceName

# Chat templates add a few tokens around each message.
TEMPLATE_TOKENS_PER_MESSAGE = 16


@singledispatch
def get_served_name(work: object) -> tuple[str, Reason]:
    """Return the model or service name, and the refusal reason if no pool serves it."""
    raise TypeError(f"intake does not support work type {type(work).__name__}")


@get_served_name.register
def _(work: ModelWork) -> tuple[str, Reason]:
    return work.model, Reason.UNKNOWN_MODEL


@get_served_name.register
def _(work: ServiceWork) -> tuple[str, Reason]:
    return work.service, Reason.UNKNOWN_SERVICE


@singledispatch
def is_idempotent(work: object, configuration: Configuration) -> bool:
    """Return whether the work may run more than once."""
    raise TypeError(f"intake does not support work type {type(work).__name__}")


@is_idempotent.register
def _(work: ModelWork, configuration: Configuration) -> bool:
    return True


@is_idempotent.register
def _(work: ServiceWork, configuration: Configuration) -> bool:
    return configuration.is_idempotent(
        ServiceName(work.service), OperationName(work.operation)
    )


@singledispatch
def get_max_turn_tokens(work: object) -> int:
    """Return an upper bound on the tokens of the new turn, excluding the history."""
    raise TypeError(f"intake does not support work type {type(work).__name__}")


@get_max_turn_tokens.register
def _(work: ModelWork) -> int:
    # A token has at least one byte, so the byte count is an upper bound.
    prompt = sum(
        len(message["content"].encode()) + TEMPLATE_TOKENS_PER_MESSAGE
        for message in work.messages
    )
    return prompt + work.max_tokens


@get_max_turn_tokens.register
def _(work: ServiceWork) -> int:
    return 0

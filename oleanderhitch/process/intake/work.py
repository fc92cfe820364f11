"""Tell what the intake must know of a call's work, whatever its kind."""

from functools import singledispatch

from oleanderhitch.request.messages import ModelWork, ServiceWork
from oleanderhitch.request.states import Reason
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import OperationName, ServiceName

# Chat templates add a few tokens around each message.
TEMPLATE_TOKENS = 16


@singledispatch
def get_pool_name(work: object) -> tuple[str, Reason]:
    """Return the name that pools serve and the reason when there is none."""
    raise TypeError(f"no pool for {type(work).__name__}")


@get_pool_name.register
def _(work: ModelWork) -> tuple[str, Reason]:
    return work.model, Reason.UNKNOWN_MODEL


@get_pool_name.register
def _(work: ServiceWork) -> tuple[str, Reason]:
    return work.service, Reason.UNKNOWN_SERVICE


@singledispatch
def is_idempotent(work: object, configuration: Configuration) -> bool:
    """Return whether the work may run more than once."""
    raise TypeError(f"no repeat rule for {type(work).__name__}")


@is_idempotent.register
def _(work: ModelWork, configuration: Configuration) -> bool:
    return True


@is_idempotent.register
def _(work: ServiceWork, configuration: Configuration) -> bool:
    return configuration.is_idempotent(
        ServiceName(work.service), OperationName(work.operation)
    )


@singledispatch
def estimate_tokens(work: object) -> int:
    """Return the most tokens that the new turn may add, history apart."""
    raise TypeError(f"no token estimate for {type(work).__name__}")


@estimate_tokens.register
def _(work: ModelWork) -> int:
    # A token has one byte at least, so bytes bound the prompt from above.
    prompt = sum(
        len(message["content"].encode()) + TEMPLATE_TOKENS for message in work.messages
    )
    return prompt + work.max_tokens


@estimate_tokens.register
def _(work: ServiceWork) -> int:
    return 0

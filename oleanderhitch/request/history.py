"""Build the prompt of a model call from the turns before it."""

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch

from oleanderhitch.program.messages import Turn
from oleanderhitch.request.messages import ModelWork, ServiceWork, Work

Message = dict[str, str]
DecodeWork = Callable[[bytes], object]


@singledispatch
def make_attempt_work(
    work: object, history: tuple[Turn, ...], answered: bytes, decode: DecodeWork
) -> Work:
    """Return the work to send, with the history and the text already answered."""
    raise TypeError(f"no attempt for {type(work).__name__}")


@make_attempt_work.register
def _(
    work: ModelWork, history: tuple[Turn, ...], answered: bytes, decode: DecodeWork
) -> Work:
    messages: list[Message] = []
    for turn in history:
        messages += list_turn_messages(decode(turn.content), turn.answer)
    messages += work.messages
    if answered:
        messages.append({"role": "assistant", "content": answered.decode()})
    return replace(work, messages=tuple(messages))


@make_attempt_work.register
def _(
    work: ServiceWork, history: tuple[Turn, ...], answered: bytes, decode: DecodeWork
) -> Work:
    return work


@singledispatch
def list_turn_messages(work: object, answer: bytes) -> list[Message]:
    """Return the messages that an earlier turn adds to a prompt."""
    raise TypeError(f"no turn for {type(work).__name__}")


@list_turn_messages.register
def _(work: ModelWork, answer: bytes) -> list[Message]:
    reply = {"role": "assistant", "content": answer.decode(errors="replace")}
    return [*work.messages, reply]


@list_turn_messages.register
def _(work: ServiceWork, answer: bytes) -> list[Message]:
    # The caller passes on what it wants the model to know of a tool's answer.
    return []

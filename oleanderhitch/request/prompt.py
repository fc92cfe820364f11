"""Build the prompt of a model call from the preceding turns."""

from collections.abc import Callable
from functools import singledispatch

from oleanderhitch.program.messages import Turn
from oleanderhitch.request.messages import ModelWork, ServiceWork

Message = dict[str, str]
DecodeWork = Callable[[bytes], object]


def make_prompt(history: tuple[Turn, ...], decode: DecodeWork) -> tuple[Message, ...]:
    """Return the messages of a program's turns, oldest first."""
    messages: list[Message] = []
    for turn in history:
        messages += list_turn_messages(decode(turn.content), turn.answer)
    return tuple(messages)


@singledispatch
def list_turn_messages(work: object, answer: bytes) -> list[Message]:
    """Return the messages that an earlier turn adds to a prompt."""
    raise TypeError(f"prompt does not support work type {type(work).__name__}")


@list_turn_messages.register
def _(work: ModelWork, answer: bytes) -> list[Message]:
    answer_message = {"role": "assistant", "content": answer.decode(errors="replace")}
    return [*work.messages, answer_message]


@list_turn_messages.register
def _(work: ServiceWork, answer: bytes) -> list[Message]:
    # Callers include the relevant part of a service's answer in the next model call.
    return []

"""Provide the base of immutable values: messages, effects, settings and records."""

from typing import Self

from msgspec import Struct


class Value(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of immutable values.

    Structs are defined and made faster than dataclasses: a process starts sooner, and
    the codec needs no conversion to maps. Subclasses repeat `frozen=True`, which the
    type checker does not inherit.
    """

    def __repr__(self) -> str:
        """Return the fields, with the size of byte strings instead of their content.

        Bodies and commands may contain keys of client accounts.
        """
        fields = (
            f"{name}={_describe(getattr(self, name))}"
            for name in self.__struct_fields__
        )
        return f"{type(self).__name__}({', '.join(fields)})"

    def __deepcopy__(self, memo: object) -> Self:
        """Return the value itself: a deep copy of a task's state shares its values.

        They may hold addresses of tasks, which can't be copied.
        """
        return self


def _describe(field: object) -> str:
    if isinstance(field, bytes | bytearray):
        return f"<{len(field)} bytes>"
    return repr(field)

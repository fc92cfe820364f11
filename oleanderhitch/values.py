"""Provide the base of immutable values: messages, effects, settings and records."""

from msgspec import Struct


class Value(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of immutable values.

    Structs are defined and made faster than dataclasses: a process starts sooner, and
    the codec needs no conversion to maps. Subclasses repeat `frozen=True`, which the
    type checker does not inherit.
    """

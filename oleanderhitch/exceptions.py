"""Define the base classes of all errors."""


class OleanderhitchError(Exception):
    """Base class of the errors that oleanderhitch raises."""


class InvalidInputError(OleanderhitchError):
    """Input of a caller, an operator or a setting is invalid."""


class UnavailableError(OleanderhitchError):
    """A required component is temporarily unavailable."""

"""Define the root of the error tree."""


class OleanderhitchError(Exception):
    """Signal any fault that oleanderhitch reports."""


class InvalidInputError(OleanderhitchError):
    """Signal input that a caller, an operator or a setting got wrong."""


class UnavailableError(OleanderhitchError):
    """Signal that a needed part is out of reach for now."""

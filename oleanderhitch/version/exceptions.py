"""Define the errors of declarations."""

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.version.checks import Fault


class InvalidConfigurationError(InvalidInputError):
    """Signal declarations with faults; all of them are listed."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class UndeclaredNameError(InvalidInputError):
    """Signal a name that the accepted configuration does not declare."""

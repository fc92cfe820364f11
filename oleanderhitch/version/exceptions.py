"""Define the errors of configurations."""

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.version.checks import Fault


class InvalidConfigurationError(InvalidInputError):
    """The documents fail checks; `faults` lists every fault."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class UndeclaredNameError(InvalidInputError):
    """The accepted configuration does not declare a requested name."""

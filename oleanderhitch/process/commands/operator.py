"""Run the operators' command line."""

import sys
from collections.abc import Sequence

from cleo.application import Application

from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.commands.operator_apply import ApplyCommand
from oleanderhitch.process.commands.operator_base import (
    OperatorCommand,
    Surroundings,
    make_surroundings,
)
from oleanderhitch.process.commands.operator_check import CheckCommand
from oleanderhitch.process.commands.operator_client import (
    ClientSettings,
    ConfigurationClient,
)
from oleanderhitch.process.commands.operator_history import HistoryCommand
from oleanderhitch.process.commands.operator_outcome import OutcomeCommand
from oleanderhitch.process.commands.operator_plan import PlanCommand
from oleanderhitch.process.commands.operator_status import StatusCommand

# A further command is one more class in this list.
COMMANDS: list[type[OperatorCommand]] = [
    CheckCommand,
    PlanCommand,
    ApplyCommand,
    StatusCommand,
    HistoryCommand,
    OutcomeCommand,
]


def make_application(
    surroundings: Surroundings, commands: Sequence[type[OperatorCommand]] = COMMANDS
) -> Application:
    """Return the command line with the given commands."""
    application = Application("oleanderhitch")
    for command in commands:
        bound = command()
        bound.surroundings = surroundings
        application.add(bound)
    return application


def main() -> None:
    """Run the command line of this process."""
    application = make_application(make_surroundings(_make_client))
    sys.exit(application.run())


def _make_client(settings: ClientSettings) -> ConfigurationClient:
    raise UnavailableError("this build has no connection to stores")


if __name__ == "__main__":
    main()

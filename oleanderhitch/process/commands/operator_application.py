"""Assemble the operators' command line."""

from collections.abc import Sequence

from cleo.application import Application

from oleanderhitch.process.commands.operator_apply import ApplyCommand
from oleanderhitch.process.commands.operator_base import (
    CommandDependencies,
    OperatorCommand,
    make_command_dependencies,
)
from oleanderhitch.process.commands.operator_check import CheckCommand
from oleanderhitch.process.commands.operator_explain import ExplainCommand
from oleanderhitch.process.commands.operator_history import HistoryCommand
from oleanderhitch.process.commands.operator_hosts import HostsCommand
from oleanderhitch.process.commands.operator_outcome import OutcomeCommand
from oleanderhitch.process.commands.operator_plan import PlanCommand
from oleanderhitch.process.commands.operator_replace import ReplaceCommand
from oleanderhitch.process.commands.operator_status import StatusCommand
from oleanderhitch.process.commands.trace_show import TraceShowCommand
from oleanderhitch.process.operators.explaining import send_explain_request
from oleanderhitch.process.operators.network import (
    make_configuration_client,
    make_hosts_client,
)

# A new command of an operator is registered by adding its class to this list.
COMMANDS: list[type[OperatorCommand]] = [
    CheckCommand,
    PlanCommand,
    ApplyCommand,
    StatusCommand,
    HistoryCommand,
    OutcomeCommand,
    HostsCommand,
    ReplaceCommand,
    ExplainCommand,
]


def make_application(
    dependencies: CommandDependencies,
    command_classes: Sequence[type[OperatorCommand]] = COMMANDS,
) -> Application:
    """Return a command line whose commands use the given dependencies."""
    application = Application("oleanderhitch")
    for command_class in command_classes:
        instance = command_class()
        instance.dependencies = dependencies
        application.add(instance)
    return application


def run() -> int:
    """Run the command line of this process and return its exit code."""
    application = make_application(
        make_command_dependencies(
            make_configuration_client, make_hosts_client, send_explain_request
        )
    )
    # Reads local trace files and needs no client of a deployment.
    application.add(TraceShowCommand())
    return application.run()

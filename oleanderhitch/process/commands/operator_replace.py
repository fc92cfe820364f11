"""Move the replicas of a lost disk host to another one."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.replication.states import ChangeOutcome


class ReplaceCommand(OperatorCommand):
    """Replaces a lost host in each group.

    The repair is complete only once the exit code is 0.
    """

    name = "replace"
    description = "Move the replicas of a lost disk host to another one."
    arguments: ClassVar[list[Argument]] = [
        argument("lost", "Name of the lost disk host."),
        argument("replacement", "Name of the disk host that takes its place."),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION, *CONNECTION_OPTIONS]

    def run_command(self) -> ExitCode:
        """Replace the host in one group after another."""
        lost = NodeId(str(self.argument("lost")))
        replacement = NodeId(str(self.argument("replacement")))
        replies = dict(self.connect_hosts_client().replace_host(lost, replacement))
        lines = [
            f"group {group}: {reply.outcome.value} {reply.reason}".rstrip()
            for group, reply in replies.items()
        ]
        self.write_result(
            {"groups": replies}, lines or [f"no group has a replica on {lost}"]
        )
        is_complete = all(
            reply.outcome is ChangeOutcome.COMPLETED for reply in replies.values()
        )
        return ExitCode.OK if is_complete else ExitCode.CONFLICT

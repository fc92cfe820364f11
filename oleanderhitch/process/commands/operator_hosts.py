"""Show the replicas of the disk hosts."""

from typing import ClassVar

from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.operators.hosts import Leader


class HostsCommand(OperatorCommand):
    """Shows the replicas of each group, as its leader reports them."""

    name = "hosts"
    description = "Show the replicas of the disk hosts and whether a repair is due."
    options: ClassVar[list[Option]] = [JSON_OPTION, *CONNECTION_OPTIONS]

    def run_command(self) -> ExitCode:
        """Query the leader of each group; return UNREACHABLE if one is missing."""
        groups = list(self.connect_hosts_client().list_leaders())
        lines = [_format_group(group, leader) for group, leader in groups]
        result = {
            "groups": {
                group: None if leader is None else leader.status
                for group, leader in groups
            }
        }
        self.write_result(result, lines or ["no store answered"])
        is_complete = bool(groups) and all(leader for _, leader in groups)
        return ExitCode.OK if is_complete else ExitCode.UNREACHABLE


def _format_group(group: GroupId, leader: Leader | None) -> str:
    if leader is None:
        return f"group {group}: no leader"
    status = leader.status
    unreachable = [
        follower.replica
        for follower in status.followers
        if follower.is_voter and not follower.is_reachable
    ]
    unreachable_text = (
        f", not reachable: {', '.join(unreachable)}" if unreachable else ""
    )
    change_text = ", a change is under way" if status.is_change_pending else ""
    return (
        f"group {group}: leader {status.replica}, "
        f"voters {', '.join(status.membership.voters)}{change_text}{unreachable_text}"
    )

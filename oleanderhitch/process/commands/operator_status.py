"""Show the version in force and the nodes."""

from typing import ClassVar

from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)


class StatusCommand(OperatorCommand):
    """Shows the versions, nodes and pool owners."""

    name = "status"
    description = "Show the accepted version, the one in force, and the nodes."
    options: ClassVar[list[Option]] = [JSON_OPTION, *CONNECTION_OPTIONS]

    def run_command(self) -> ExitCode:
        """Read the status from the leader, or from another store if none leads."""
        status = self.connect_configuration_client().get_status()
        in_force = status.in_force_version
        lines = [
            f"accepted: {status.accepted_version}",
            f"in force: {'not known yet' if in_force is None else in_force}",
        ]
        for row in status.nodes:
            lines.append(
                f"node {row.node}: {row.state.value}, {row.role.value} in "
                f"{row.data_centre}, version {row.installed_version}"
            )
        for owner in status.owners:
            lines.append(f"pool {owner.pool}: {owner.owner or 'no owner'}")
        self.write_result(
            {
                "accepted_version": status.accepted_version,
                "in_force_version": in_force,
                "nodes": status.nodes,
                "owners": status.owners,
            },
            lines,
        )
        return ExitCode.OK

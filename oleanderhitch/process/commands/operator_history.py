"""Show the latest accepted versions."""

from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)


class HistoryCommand(OperatorCommand):
    """Shows the latest accepted versions with their authors and changes."""

    name = "history"
    description = "Show the latest accepted versions, newest first."
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        *CONNECTION_OPTIONS,
        option("limit", None, "Number of versions.", flag=False, default="20"),
    ]

    def run_command(self) -> ExitCode:
        """Read the history from the configuration leader."""
        limit = self.parse_number(self.option("limit"), "--limit")
        history = self.connect_configuration_client().get_history(limit)
        lines = [f"accepted: {history.version}"]
        for record in history.records:
            lines.append(
                f"version {record.version} by {record.author} at "
                f"{record.at.isoformat()} ({record.publish})"
            )
            lines.extend(f"  {change}" for change in record.changes)
        self.write_result(
            {"accepted_version": history.version, "records": history.records}, lines
        )
        return ExitCode.OK

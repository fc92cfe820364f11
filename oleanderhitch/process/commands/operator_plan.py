"""Show what a folder would change."""

from pathlib import Path
from typing import ClassVar

from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    FOLDER_ARGUMENT,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.commands.operator_folder import (
    list_differences,
    read_base_version,
    read_valid_drafts,
)
from oleanderhitch.version.ids import NO_VERSION


class PlanCommand(OperatorCommand):
    """Shows the differences between a folder and the accepted version."""

    name = "plan"
    description = "Show what a folder would change in the accepted version."
    arguments: ClassVar[list[Argument]] = [FOLDER_ARGUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION, *CONNECTION_OPTIONS]

    def run_command(self) -> ExitCode:
        """Print the changes; return CONFLICT if the base version is outdated."""
        folder = Path(self.argument("folder"))
        drafts = read_valid_drafts(folder)
        base = read_base_version(folder)
        accepted = self.connect_configuration_client().get_configuration(NO_VERSION)
        differences = list_differences(drafts, accepted)
        result = {
            "base_version": base,
            "accepted_version": accepted.version,
            "changes": differences,
        }
        lines = [f"files are based on version {base}, accepted is {accepted.version}"]
        self.write_result(result, [*lines, *(differences or ["no changes"])])
        return ExitCode.OK if base == accepted.version else ExitCode.CONFLICT

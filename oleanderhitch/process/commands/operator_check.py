"""Check a folder of declarations."""

from pathlib import Path
from typing import ClassVar

from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.process.commands.operator_base import (
    FOLDER_ARGUMENT,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.commands.operator_folder import read_valid_drafts


class CheckCommand(OperatorCommand):
    """Lists the faults of a folder without connecting to the deployment."""

    name = "check"
    description = "Check a folder of declarations and list all faults."
    arguments: ClassVar[list[Argument]] = [FOLDER_ARGUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def run_command(self) -> ExitCode:
        """Read and check the folder."""
        drafts = read_valid_drafts(Path(self.argument("folder")))
        names = [draft.name for draft in drafts]
        self.write_result({"documents": names}, [f"no faults in {', '.join(names)}"])
        return ExitCode.OK

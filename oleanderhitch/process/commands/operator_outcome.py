"""Show the recorded outcome of a request."""

from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Refused
from oleanderhitch.request.ids import RequestId


class OutcomeCommand(OperatorCommand):
    """Shows the record of a request that its program's shard stores."""

    name = "outcome"
    description = "Show the recorded outcome of a request."
    arguments: ClassVar[list[Argument]] = [argument("request", "Request id.")]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        *CONNECTION_OPTIONS,
        option("program", None, "Program of the request.", flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Read the record; raise InvalidInputError if the shard refuses the read."""
        program = self.option("program")
        if not program:
            raise InvalidInputError("expected --program PROGRAM, got none")
        record = self.connect_configuration_client().get_outcome(
            ProgramId(program), RequestId(self.argument("request"))
        )
        if isinstance(record, Refused):
            raise InvalidInputError(f"{record.reason.value}: {record.detail}")
        outcome = record.outcome.value if record.outcome is not None else "none yet"
        self.write_result(
            {"record": record},
            [
                f"request {record.request} of program {record.program}, call "
                f"{record.sequence}: {record.progress.value}, outcome {outcome}, "
                f"{record.n_attempts} attempts",
                record.answer.decode("utf-8", errors="replace"),
            ],
        )
        return ExitCode.OK

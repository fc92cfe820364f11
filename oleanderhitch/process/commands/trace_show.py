"""Show the hops of a request."""

from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.tracing.records import SpanRecord, parse_record
from oleanderhitch.process.tracing.tree import TreeLine, make_tree, select_traces

_HOP_WIDTH_CHARACTERS = 24


class TraceShowCommand(Command):
    """Prints the hops of a request as a tree with times."""

    name = "trace show"
    description = "Print the hops of a request as a tree with times."
    arguments = [argument("request", "Request id.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("traces", None, "Directory with trace files.", flag=False, default=".")
    ]

    def handle(self) -> int:
        """Print the traces of the request; return 1 if there are none."""
        directory = Path(self.option("traces"))
        request = str(self.argument("request"))
        if not directory.is_dir():
            self.line_error(f"<error>{directory} is not a directory</error>")
            return 1
        self._n_invalid_lines = 0
        traces = select_traces(self._read_records(directory), request)
        if self._n_invalid_lines:
            self.line_error(f"{self._n_invalid_lines} lines are not spans")
        if not traces:
            self.line_error(
                f"<error>no span of request {request} in {directory}; it may not "
                "have been sampled (OLEANDERHITCH_TRACE_RATIO)</error>"
            )
            return 1
        for trace, records in traces.items():
            self.line(f"trace {trace}")
            for line in make_tree(records):
                self.line(format_line(line))
        return 0

    def _read_records(self, directory: Path) -> Iterator[SpanRecord]:
        for path in sorted(directory.glob("*.jsonl")):
            with path.open(encoding="utf-8", errors="replace") as file:
                for line in file:
                    try:
                        yield parse_record(line)
                    except InvalidInputError:
                        # A crash can leave a file with an incomplete last line.
                        self._n_invalid_lines += 1


def format_line(line: TreeLine) -> str:
    """Return the line that is printed for a span."""
    record = line.record
    hop = "  " * (line.depth + 1) + record.hop
    details = [f"{name}={value}" for name, value in sorted(record.attributes.items())]
    if record.error:
        details.append(f"error: {record.error}")
    return (
        f"{hop:<{_HOP_WIDTH_CHARACTERS}} at {line.start_ms:>9.3f} ms  "
        f"took {line.duration_ms:>9.3f} ms  {record.process}  {'  '.join(details)}"
    ).rstrip()

"""Command line of the engine stand-in."""

from datetime import timedelta

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import make_system_clock
from standins.connection.engine_http import make_engine_app
from standins.process.engine.state import EngineSettings
from standins.process.engine.task import make_engine_task
from standins.process.serving import make_server, serve_until_signal, start_logging


def _make_number_option(name: str, description: str, default: str) -> Option:
    return option(name, None, f"{description}.", flag=False, default=default)


class EngineCommand(Command):
    """Runs an engine stand-in."""

    name = "engine"
    description = "Stand in for a model engine."
    options = [  # noqa: RUF012
        option("listen", None, "IP address and port.", flag=False),
        option("model", None, "Loaded model.", flag=False, default="standin"),
        option("endpoint-id", None, "Name in logs.", flag=False, default="engine"),
        _make_number_option(
            "prefill-tokens-per-s", "Prompt tokens computed a second", "20000"
        ),
        _make_number_option("token-ms", "Time of a token without other streams", "10"),
        _make_number_option("slots", "Streams that run at once", "16"),
        _make_number_option("cache-tokens", "Memory for prefixes", "1000000"),
        _make_number_option("load-lag-ms", "Age of load reports", "2000"),
        _make_number_option("event-lag-ms", "Age at which cache events show", "500"),
        _make_number_option(
            "events-between-gaps", "Every n-th event is lost; 0: none", "10"
        ),
        _make_number_option("load-ms", "Time to load a model", "500"),
        option("checks-fencing", None, "Refuse old fencing numbers (default)."),
        option("ignores-fencing", None, "Accept old fencing numbers."),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        try:
            settings = self._make_settings()
            engine = make_engine_task(settings, make_system_clock())
            server = make_server(make_engine_app(engine), self.option("listen") or "")
        except (OleanderhitchError, ValueError) as error:
            self.line_error(f"<error>{error}</error>")
            return 1
        engine.start()
        serve_until_signal(server, settings.endpoint)
        return 0

    def _make_settings(self) -> EngineSettings:
        return EngineSettings(
            self.option("endpoint-id"),
            self.option("model"),
            float(self.option("prefill-tokens-per-s")),
            self._get_ms("token-ms"),
            int(self.option("slots")),
            int(self.option("cache-tokens")),
            not self.option("ignores-fencing"),
            self._get_ms("load-lag-ms"),
            self._get_ms("event-lag-ms"),
            int(self.option("events-between-gaps")),
            self._get_ms("load-ms"),
        )

    def _get_ms(self, name: str) -> timedelta:
        return timedelta(milliseconds=float(self.option(name)))


def run() -> int:
    """Run the command line."""
    start_logging()
    application = Application("oleanderhitch-engine-standin")
    command = EngineCommand()
    application.add(command)
    application._default_command = command.name or ""
    application._single_command = True
    return application.run()

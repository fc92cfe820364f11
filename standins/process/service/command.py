"""Command line of the service stand-in."""

from datetime import timedelta

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.task import make_task
from standins.connection.service_http import make_service_app
from standins.process.service.core import (
    ServiceSettings,
    handle,
    make_service_state,
)
from standins.process.serving import make_server, serve_until_signal, start_logging
from standins.request.messages import SendMessage


def _perform(effect: object) -> None:
    if isinstance(effect, SendMessage):
        effect.address.send(effect.message)


class ServiceCommand(Command):
    """Runs a service stand-in."""

    name = "service"
    description = "Stand in for a plain service."
    options = [  # noqa: RUF012
        option("listen", None, "IP address and port.", flag=False),
        option("service", None, "Name of the service.", flag=False, default="service"),
        option("operation-ms", None, "Time of an operation.", flag=False, default="20"),
        option("answers-by-key", None, "Answer look-ups by key (default)."),
        option("no-answers-by-key", None, "Refuse look-ups by key."),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        try:
            settings = ServiceSettings(
                self.option("service"),
                timedelta(milliseconds=float(self.option("operation-ms"))),
                not self.option("no-answers-by-key"),
            )
            state = make_service_state(settings)
            task = make_task("service", state, handle, _perform, make_system_clock())
            server = make_server(make_service_app(task), self.option("listen") or "")
        except (OleanderhitchError, ValueError) as error:
            self.line_error(f"<error>{error}</error>")
            return 1
        task.start()
        serve_until_signal(server, settings.service)
        return 0


def run() -> int:
    """Run the command line."""
    start_logging()
    application = Application("oleanderhitch-service-standin")
    command = ServiceCommand()
    application.add(command)
    application._default_command = command.name or ""
    application._single_command = True
    return application.run()

"""Set up gevent, logging and the stop signals of a process."""

import signal
import sys

import gevent
import logbook
from gevent import monkey
from gevent.event import Event

from oleanderhitch.exceptions import UnavailableError

LOG_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} " + (
    "{record.channel}: {record.message}"
)


def select_event_loop() -> None:
    """Select libev's epoll back end, without a change of the standard library.

    Must run before other modules are imported. Other back ends may use io_uring, which
    the hosts do not allow. Raise UnavailableError if epoll is not available.
    """
    gevent.config.loop = "libev-cext"
    gevent.config.libev_backend = "epoll"
    backend = gevent.get_hub().loop.backend
    if backend != "epoll":
        raise UnavailableError(f"gevent runs on {backend}; epoll is required")


def prepare_gevent() -> None:
    """Patch the standard library for libraries that block, and select the event loop.

    Must run before other modules are imported. Raise UnavailableError like
    `select_event_loop`.
    """
    monkey.patch_all()
    select_event_loop()


def start_logging(level: str) -> None:
    """Log records of a level and above to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=LOG_FORMAT
    )
    handler.push_application()


def make_stop_event() -> Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    stop_event = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_event.set)
    return stop_event

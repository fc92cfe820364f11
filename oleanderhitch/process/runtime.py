"""Prepare a process before anything else is imported, and wait for its end."""

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


def prepare_gevent() -> None:
    """Pin gevent to libev's epoll back end; raise UnavailableError without it.

    The hosts do not allow io_uring, which other back ends may choose.
    """
    gevent.config.loop = "libev-cext"
    gevent.config.libev_backend = "epoll"
    monkey.patch_all()
    backend = gevent.get_hub().loop.backend
    if backend != "epoll":
        raise UnavailableError(f"gevent runs on {backend}; epoll is required")


def start_logging(level: str) -> None:
    """Write log lines to standard error from a level on."""
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=LOG_FORMAT
    )
    handler.push_application()


def make_stop_event() -> Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    return stopping

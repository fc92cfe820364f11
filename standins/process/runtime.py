"""Set gevent up before a stand-in imports anything that opens sockets."""

import gevent
from gevent import monkey

from oleanderhitch.exceptions import UnavailableError


def prepare_gevent() -> None:
    """Pin gevent to libev's epoll back end; raise UnavailableError without it."""
    gevent.config.loop = "libev-cext"
    gevent.config.libev_backend = "epoll"
    monkey.patch_all()
    backend = gevent.get_hub().loop.backend
    if backend != "epoll":
        raise UnavailableError(f"gevent runs on {backend}; epoll is required")

"""Guard against entry hosts that serve nobody while they reach no endpoint."""

from itertools import count
from pathlib import Path

import pytest
from gevent import socket

from oleanderhitch.connection.http import endpoint
from oleanderhitch.connection.http.pool import LinksChanged
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.reachability import task as reachability
from oleanderhitch.process.reachability.states import Reach
from tests.process.site.harness import SiteHarness, wait_until


# Guards against callers of a host that has lost its links to all endpoints, who are
# refused for as long as that lasts, although other hosts reach the endpoints.
def test_host_without_links_serves_through_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Serve first tries through another host, and directly once the links are back."""
    site = SiteHarness(tmp_path, 1)
    site.start()
    site.publish(1)
    site.wait_for_service("first")
    entry = site.entry
    assert entry is not None
    connect = endpoint.open_connection
    is_isolated = True

    def connect_unless_isolated(
        address: HostAddress, *options: object
    ) -> socket.socket:
        if is_isolated and address == site.engine.address:
            raise ConnectionRefusedError("the links are lost")
        return connect(address, *options)  # type: ignore[arg-type]

    def is_served(request: str) -> bool:
        return site.send_turn(request, b"in", program=request)[0] == 200

    try:
        with site.run_entry_process():
            wait_until(lambda: site.count_relays() == 2, "two hosts known to the store")
            for module in (endpoint, reachability):
                monkeypatch.setattr(module, "open_connection", connect_unless_isolated)
            # Connections that are open hang.
            entry._connection_pool.send(LinksChanged(False, True))
            numbers = count()
            wait_until(
                lambda: is_served(f"lost-{next(numbers)}"),
                "a turn served through the other host",
            )
            n_served = sum(is_served(f"again-{n}") for n in range(10))
            assert n_served == 10
            is_isolated = False
            reach = entry._reachability._state
            wait_until(lambda: reach.reach is Reach.CONNECTED, "links that are back")
        # The other host has ended.
        assert sum(is_served(f"back-{n}") for n in range(10)) == 10
    finally:
        site.close()

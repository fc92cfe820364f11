"""Guard against entry hosts that serve nobody while they reach no endpoint."""

from itertools import count
from pathlib import Path

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.http import endpoint
from oleanderhitch.connection.http.pool import LinksChanged
from oleanderhitch.connection.http.sockets import EndpointSocket
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.relay.client import open_tunnel
from oleanderhitch.connection.relay.exceptions import RelayError
from oleanderhitch.connection.relay.framing import HEADER_BYTES
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.reachability import task as reachability
from oleanderhitch.process.reachability.states import Reach
from oleanderhitch.process.site.entry import BALANCER_DRAIN_DELAY
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from tests.process.site.harness import CLOCK, SiteHarness, wait_until

REQUEST = (
    b"POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nContent-Length: 1\r\n\r\nx"
)


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


# Guards against requests that a planned stop breaks off, since another host sends them
# through the one that stops.
def test_stopping_host_keeps_its_tunnels_until_they_are_closed(tmp_path: Path) -> None:
    """Pass bytes on during a stop, open no new tunnel, and end with the last one."""
    site = SiteHarness(tmp_path, 1)
    site.start()
    entry = site.entry
    assert entry is not None
    relay = entry._settings.relay_address
    assert relay is not None
    identity = Identity(NodeId("other"), entry._settings.site.peer_key)

    def connect() -> EndpointSocket:
        codec = make_site_peer_codec()
        return open_tunnel(relay, site.engine.address, codec, identity, CLOCK)

    try:
        tunnel = connect()
        connected = tunnel.connected
        connected.settimeout(5)
        connected.sendall(REQUEST)
        assert tunnel.receive(15 + HEADER_BYTES) == b"HTTP/1.1 200 OK"
        stop = gevent.spawn(entry.stop)
        gevent.sleep(BALANCER_DRAIN_DELAY.total_seconds() + 0.5)
        assert not stop.ready()
        with pytest.raises(RelayError):
            connect()
        while b"out2" not in tunnel.receive(65536):
            pass
        connected.sendall(REQUEST)
        assert tunnel.receive(65536)
        connected.close()
        stop.join(2)
        assert stop.ready()
    finally:
        site.close()

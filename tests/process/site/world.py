"""Run the stores and an entry of a site in this process, on loopback."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import gevent
import urllib3
from gevent import socket

from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.platform.caches import make_platform_caches
from oleanderhitch.platform.operators import make_platform_operators
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import read_route_table
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.site.entry import Entry, EntryTranslation, make_entry
from oleanderhitch.process.site.renewal import (
    EndStore,
    RenewableStore,
    make_renewable_store,
)
from oleanderhitch.process.site.settings import (
    EntrySettings,
    SiteSettings,
    StoreSettings,
)
from oleanderhitch.process.site.store import Store, StoreTranslation, make_store
from oleanderhitch.version.ids import (
    DataCentreName,
    EndpointId,
    HostName,
    ServiceName,
)

CLOCK = make_system_clock()
WAIT_S = 10.0
N_EVENTS = 3


def get_free_address() -> HostAddress:
    """Return an address that nothing listens at."""
    free = socket.socket()
    free.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{free.getsockname()[1]}")
    free.close()
    return address


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Return once a condition holds; raise AssertionError after the limit."""
    deadline = CLOCK.now() + timedelta(seconds=WAIT_S)
    while not condition():
        assert CLOCK.now() < deadline, f"not within {WAIT_S} s: {what}"
        gevent.sleep(0.02)


@dataclass(slots=True)
class Endpoints:
    """Run one model engine that streams what it was sent last."""

    address: HostAddress = field(default_factory=get_free_address)
    bodies: list[bytes] = field(default_factory=list)

    def start(self) -> None:
        """Listen."""
        make_http_server(self.address, self._serve, CLOCK).start()

    def list(self) -> tuple[ListedEndpoint, ...]:
        """Return the list that the platform keeps."""
        return (
            ListedEndpoint(
                EndpointId("i-1"),
                ServiceName("s"),
                self.address,
                DataCentreName("a"),
                8,
                False,
            ),
        )

    def _serve(
        self,
        request: HttpRequest,
        writer: ResponseWriter,
        mailbox: Mailbox,
        at: datetime,
    ) -> None:
        self.bodies.append(request.body)
        identifier = request.find_header("x-request-id") or ""
        writer.start(200, (("x-request-id", identifier), ("x-server-stamp", "sig")))
        for number in range(N_EVENTS):
            writer.write(b"id: %d\ndata: out%d\n\n" % (number, number))
        writer.finish()


class Site:
    """Hold the processes of a site that share this one."""

    def __init__(self, directory: Path, n_stores: int) -> None:
        self._directory = directory
        self._peers = [get_free_address() for _ in range(n_stores)]
        self._operators = [get_free_address() for _ in range(n_stores)]
        self._front = get_free_address()
        self.endpoints = Endpoints()
        self._renewables: dict[int, RenewableStore] = {}
        self.ended: list[str] = []
        self.entry: Entry | None = None
        self.http = urllib3.PoolManager(retries=False, timeout=5)

    @property
    def stores(self) -> dict[int, Store]:
        """Return the stores that run, by their number."""
        return {number: one.store for number, one in self._renewables.items()}

    def start(self) -> None:
        """Start everything, the stores for the first time."""
        self.endpoints.start()
        for number in range(len(self._peers)):
            self.start_store(number, may_found=True)
        self.entry = make_entry(
            EntrySettings(
                self._make_site_settings("entry", get_free_address()),
                self._front,
                get_free_address(),
            ),
            EntryTranslation(
                make_platform_dialect(),
                make_platform_caches(),
                read_route_table,
                self.endpoints.list,
            ),
            CLOCK,
            make_metrics(),
        )
        self.entry.start()

    def start_store(self, number: int, may_found: bool = False, disk: int = 0) -> None:
        """Start a store with one of its disks."""
        translation = StoreTranslation(make_platform_operators(1), self.endpoints.list)

        def make_own_store(settings: StoreSettings, end: EndStore) -> Store:
            return make_store(settings, translation, CLOCK, make_metrics(), end)

        store = make_renewable_store(
            StoreSettings(
                self._make_site_settings(
                    f"store-{number}", NodeId(self._peers[number])
                ),
                self._operators[number],
                self._directory / f"store-{number}-{disk}",
                may_found,
                1,
            ),
            make_own_store,
            self.ended.append,
        )
        store.start()
        self._renewables[number] = store

    def stop_store(self, number: int) -> None:
        """Stop a store and release its files."""
        self._renewables.pop(number).store.close()

    def find_leader(self) -> int | None:
        """Return the number of the store that leads."""
        for number, store in self.stores.items():
            if store.is_leader:
                return number
        return None

    def wait_for_leader(self) -> int:
        """Return the number of the leader once there is one."""
        wait_until(lambda: self.find_leader() is not None, "a leader")
        leader = self.find_leader()
        assert leader is not None
        return leader

    def call(
        self, number: int, method: str, path: str, content: Any = None
    ) -> tuple[int, Any]:
        """Return the answer of a store to an operator."""
        body = None if content is None else json.dumps(content).encode()
        url = f"http://{self._operators[number]}{path}"
        response = self.http.request(method, url, body=body)
        return response.status, json.loads(response.data or b"null")

    def publish(self, version: int) -> None:
        """Publish a configuration until it is accepted."""
        content = {
            "version": version,
            "routes": [
                {
                    "name": "r",
                    "host": "h",
                    "path_prefix": "/p/",
                    "kind": "stream",
                    "timeout_ms": 4000,
                    "service": "s",
                    "keeps_history": True,
                    "retain_s": 60,
                }
            ],
            "services": [
                {
                    "name": "s",
                    "engine": {"slots": 8, "kv_capacity": 1000, "chunk_tokens": 10},
                }
            ],
        }

        def is_accepted() -> bool:
            return self.call(min(self.stores), "PUT", "/-/config", content)[0] == 200

        wait_until(is_accepted, f"version {version} accepted")

    def ask(
        self, request: str, body: bytes, previous: str | None = None, budget: int = 1000
    ) -> tuple[int, bytes]:
        """Return status and body of a turn."""
        headers = {
            "Host": "h",
            "X-Request-Id": request,
            "X-Deadline-Ms": "4000",
            "X-Program-Id": "p",
            "X-Token-Budget": str(budget),
            "X-Token-Usage": "100,50",
        }
        if previous is not None:
            headers["X-Previous-Turn"] = previous
        url = f"http://{self._front}/p/x"
        response = self.http.request("POST", url, body=body, headers=headers)
        return response.status, response.data

    def wait_for_service(self, name: str) -> None:
        """Return once a turn is served, under a name that no other turn has."""
        numbers = iter(range(1000))

        def is_served() -> bool:
            return self.ask(f"{name}-{next(numbers)}", b"x", budget=100_000)[0] == 200

        wait_until(is_served, "a served turn")

    def close(self) -> None:
        """Release everything."""
        for number in list(self.stores):
            self.stop_store(number)
        if self.entry is not None:
            self.entry.close()

    def _make_site_settings(self, host: str, address: HostAddress) -> SiteSettings:
        return SiteSettings(
            HostName(host),
            DataCentreName("a"),
            NodeId(address),
            tuple(NodeId(address) for address in self._peers[:3]),
            b"key",
            timedelta(seconds=8),
            None,
        )

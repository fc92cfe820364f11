"""Run the stores and the entry host of a site in the test process, on loopback."""

import json
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import count
from pathlib import Path
from typing import Any

import gevent
import urllib3
from gevent import socket

from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import Headers, HttpRequest
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.operators import make_platform_operator_dialect
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.process.clock import make_boot_clock, make_system_clock
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.metrics.core import Metrics, make_metrics
from oleanderhitch.process.metrics.states import Gauge
from oleanderhitch.process.quotas.messages import QuotaBounds
from oleanderhitch.process.site.entry import (
    EntryDependencies,
    EntryHost,
    make_entry_host,
)
from oleanderhitch.process.site.settings import (
    SiteEntrySettings,
    SiteSettings,
    SiteStoreSettings,
)
from oleanderhitch.process.site.store import Store, StoreDependencies, make_store
from oleanderhitch.version.ids import (
    DataCentreName,
    EndpointId,
    HostName,
    ServiceName,
)
from oleanderhitch.version.routes.configuration import CallerLimits

CLOCK = make_system_clock()
WAIT_TIMEOUT_S = 10.0
N_EVENTS = 3
# Engines get whole histories.
ENGINE_LIMITS = CallerLimits(body_bytes=16 * 1024 * 1024)


ROOT = Path(__file__).parents[3]
REVOCATION_LIMIT = timedelta(seconds=2)
# Starts an entry host in a process of its own, which a test can freeze.
ENTRY_SCRIPT = """
import sys
from oleanderhitch.process.runtime import select_event_loop
select_event_loop()
import gevent
from pathlib import Path
from oleanderhitch.process.logs.writer import start_json_log
from tests.process.site import harness
*stores, engine, address, operators = sys.argv[1:]
site = harness.SiteHarness(
    Path(), 0, revocation_limit=harness.REVOCATION_LIMIT, stores=stores
)
site.engine.address = engine
start_json_log(1, "DEBUG", {})
site.start_entry("entry-process", address, operators)
gevent.sleep(60)
"""


_given_addresses: set[HostAddress] = set()


def get_free_address() -> HostAddress:
    """Return an address that nothing listens on, a new one in each call."""
    while True:
        free = socket.socket()
        free.bind(("127.0.0.1", 0))
        address = HostAddress(f"127.0.0.1:{free.getsockname()[1]}")
        free.close()
        # The system may choose a port again as soon as it is closed.
        if address not in _given_addresses:
            _given_addresses.add(address)
            return address


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Return once a condition holds; raise AssertionError after WAIT_TIMEOUT_S."""
    deadline = CLOCK.now() + timedelta(seconds=WAIT_TIMEOUT_S)
    while not condition():
        assert CLOCK.now() < deadline, f"not within {WAIT_TIMEOUT_S} s: {description}"
        gevent.sleep(0.02)


@dataclass(slots=True)
class FakeEngine:
    """A model engine that records request bodies and streams fixed events."""

    address: HostAddress = field(default_factory=get_free_address)
    bodies: list[bytes] = field(default_factory=list)
    headers: list[Headers] = field(default_factory=list)
    work_duration: timedelta = timedelta(0)

    def start(self) -> None:
        """Start listening."""
        make_http_server(
            self.address, self._serve, CLOCK, lambda: ENGINE_LIMITS
        ).start()

    def list_endpoints(self) -> tuple[ListedEndpoint, ...]:
        """Return the platform's list of endpoints, which has this engine only."""
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
        self.headers.append(request.headers)
        gevent.sleep(self.work_duration.total_seconds())
        request_id = request.find_header("x-request-id") or ""
        writer.start(200, (("x-request-id", request_id), ("x-server-stamp", "sig")))
        for number in range(N_EVENTS):
            writer.write(b"id: %d\ndata: out%d\n\n" % (number, number))
        writer.finish()


class SiteHarness:
    """A site whose processes all run in the test process."""

    def __init__(
        self,
        directory: Path,
        n_stores: int,
        stop_grace_period: timedelta = timedelta(seconds=8),
        revocation_limit: timedelta | None = None,
        stores: Sequence[str] = (),
        quota_bounds: QuotaBounds | None = None,
    ) -> None:
        self._revocation_limit = revocation_limit
        self._quota_bounds = quota_bounds
        self._directory = directory
        self._stop_grace_period = stop_grace_period
        self._peer_addresses = [HostAddress(address) for address in stores]
        self._peer_addresses += [get_free_address() for _ in range(n_stores)]
        self._operator_addresses = [get_free_address() for _ in range(n_stores)]
        self.caller_address = get_free_address()
        self.engine = FakeEngine()
        self.stores: dict[int, Store] = {}
        self.end_reasons: list[str] = []
        self.metrics: dict[int, Metrics] = {}
        self.entry: EntryHost | None = None
        self.second_entry: EntryHost | None = None
        self.second_caller_address = get_free_address()
        self._request_numbers = count(1)
        self._other_entries: list[EntryHost] = []
        self.http = urllib3.PoolManager(retries=False, timeout=5)

    def start(self) -> None:
        """Start the engine, the stores, which form a new group, and the entry host."""
        self.engine.start()
        for number in range(len(self._peer_addresses)):
            self.start_store(number, may_bootstrap=True)
        self.entry = self.start_entry("entry", self.caller_address)

    def add_entry(self) -> HostAddress:
        """Start another entry host and return its address for callers."""
        address = get_free_address()
        name = f"entry-{len(self._other_entries)}"
        self._other_entries.append(self.start_entry(name, address))
        return address

    def start_second_entry(self) -> None:
        """Start another entry host."""
        self.second_entry = self.start_entry("entry-2", self.second_caller_address)

    def cut_off_second_entry(self) -> None:
        """Close the second entry host's connections to the stores for good."""
        assert self.second_entry is not None
        self.second_entry._links.stop()

    @contextmanager
    def run_entry_process(
        self, operators: HostAddress | None = None
    ) -> Iterator[tuple[int, HostAddress]]:
        """Run an entry host as a process; yield its id and its address for callers.

        It answers operators at the given address.
        """
        address = get_free_address()
        arguments = (
            *self._peer_addresses,
            self.engine.address,
            address,
            operators or get_free_address(),
        )
        process = subprocess.Popen(
            [sys.executable, "-c", ENTRY_SCRIPT, *arguments], cwd=ROOT
        )
        try:
            yield process.pid, address
        finally:
            process.kill()
            process.wait()

    def start_entry(
        self,
        name: str,
        caller_address: HostAddress,
        operators: HostAddress | None = None,
    ) -> EntryHost:
        """Start an entry host in this process, which may answer operators."""
        entry = make_entry_host(
            SiteEntrySettings(
                self._make_site_settings(name, operators or get_free_address()),
                caller_address,
                get_free_address(),
                has_operator_calls=operators is not None,
                relay_address=get_free_address(),
            ),
            EntryDependencies(
                make_platform_dialect(),
                make_platform_cache_dialect(),
                parse_route_table,
                self.engine.list_endpoints,
            ),
            make_boot_clock(),
            make_metrics(),
        )
        entry.start()
        return entry

    def start_store(
        self, number: int, may_bootstrap: bool = False, disk: int = 0
    ) -> None:
        """Start a store; each disk number has a data directory of its own."""
        dependencies = StoreDependencies(
            make_platform_operator_dialect(1),
            self.engine.list_endpoints,
            parse_route_table,
        )

        self.metrics[number] = make_metrics()
        store = make_store(
            SiteStoreSettings(
                self._make_site_settings(
                    f"store-{number}", NodeId(self._peer_addresses[number])
                ),
                self._operator_addresses[number],
                self._directory / f"store-{number}-{disk}",
                may_bootstrap,
                1,
            ),
            dependencies,
            CLOCK,
            make_boot_clock(),
            self.metrics[number],
            self.end_reasons.append,
        )
        store.start()
        self.stores[number] = store

    def get_peer_address(self, number: int) -> HostAddress:
        """Return the address of a store for other processes."""
        return self._peer_addresses[number]

    def stop_store(self, number: int) -> None:
        """Stop a store without a leadership transfer and release its files."""
        self.stores.pop(number).close()

    def find_leader(self) -> int | None:
        """Return the number of the leader, or None."""
        for number, store in self.stores.items():
            if store.is_leader:
                return number
        return None

    def count_led_groups(self) -> dict[int, int]:
        """Return how many groups each running store leads, by its number."""
        return {
            number: sum(
                sample.value
                for sample in self.metrics[number].make_snapshot().gauges
                if sample.name == Gauge.LEADER.value.name
            )
            for number in self.stores
        }

    def count_turns(self, number: int) -> int:
        """Return how many turns a running store has."""
        return self.stores[number].count_turns()

    def count_relays(self) -> int:
        """Return how many entry hosts offer tunnels, as a store has heard."""
        store = next(iter(self.stores.values()))
        subscribers = store._subscribers._subscribers.values()
        return sum(subscriber.hello.relay is not None for subscriber in subscribers)

    def wait_for_leader(self) -> int:
        """Return the number of the leader once there is one."""
        wait_until(lambda: self.find_leader() is not None, "a leader")
        leader = self.find_leader()
        assert leader is not None
        return leader

    def call_store(
        self, number: int, method: str, path: str, content: Any = None
    ) -> tuple[int, Any]:
        """Send an operator's call to a store; return its status and content."""
        body = None if content is None else json.dumps(content).encode()
        url = f"http://{self._operator_addresses[number]}{path}"
        response = self.http.request(method, url, body=body)
        return response.status, json.loads(response.data or b"null")

    def publish(
        self,
        version: int,
        accounts: dict[str, list[str]] | None = None,
        **entries: Any,
    ) -> None:
        """Publish a routing configuration repeatedly until it is accepted.

        `accounts` are the keys of each account.
        """
        content: dict[str, Any] = {
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
            **entries,
        }

        if accounts is not None:
            content["tenants"] = [
                {"name": name, "api_keys": keys} for name, keys in accounts.items()
            ]

        def is_accepted() -> bool:
            return (
                self.call_store(min(self.stores), "PUT", "/-/config", content)[0] == 200
            )

        wait_until(is_accepted, f"version {version} accepted")

    def send_turn(
        self,
        request: str,
        body: bytes,
        previous: str | None = None,
        budget: int = 1000,
        program: str = "p",
        key: str | None = None,
    ) -> tuple[int, bytes]:
        """Send a turn to the entry host; return the status and body of the response."""
        headers = {
            "Host": "h",
            "X-Request-Id": request,
            "X-Deadline-Ms": "4000",
            "X-Program-Id": program,
            "X-Token-Budget": str(budget),
            "X-Token-Usage": "100,50",
        }
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        if previous is not None:
            headers["X-Previous-Turn"] = previous
        url = f"http://{self.caller_address}/p/x"
        response = self.http.request("POST", url, body=body, headers=headers)
        return response.status, response.data

    def send_with_key(self, key: str, address: HostAddress) -> tuple[int, bytes]:
        """Send a request that is no turn, which needs no store, to an entry host."""
        headers = {
            "Host": "h",
            "X-Request-Id": f"keyed-{next(self._request_numbers)}",
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {key}",
        }
        url = f"http://{address}/p/x"
        response = self.http.request("POST", url, body=b"x", headers=headers)
        return response.status, response.data

    def wait_for_service(self, name: str) -> None:
        """Return once a turn is served; the name must differ for each call."""
        numbers = iter(range(1000))

        def is_served() -> bool:
            return (
                self.send_turn(f"{name}-{next(numbers)}", b"x", budget=100_000)[0]
                == 200
            )

        wait_until(is_served, "a served turn")

    def close(self) -> None:
        """Stop all stores and the entry host."""
        for number in list(self.stores):
            self.stop_store(number)
        for entry in (self.entry, self.second_entry, *self._other_entries):
            if entry is not None:
                entry.close()

    def _make_site_settings(self, host: str, address: HostAddress) -> SiteSettings:
        return SiteSettings(
            HostName(host),
            DataCentreName("a"),
            NodeId(address),
            tuple(NodeId(address) for address in self._peer_addresses[:3]),
            b"key",
            self._stop_grace_period,
            None,
            revocation_limit=self._revocation_limit,
            quota_bounds=self._quota_bounds,
        )

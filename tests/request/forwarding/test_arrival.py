"""Guard against requests that are refused before a starting host has its lease."""

from datetime import timedelta

import gevent
import pytest

from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.placement.messages import AttemptResult, EndpointGranted
from oleanderhitch.process.quotas.messages import CreditGranted
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.process.site.subscription.lease import Lease, make_lease_terms
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.identity import Admission
from oleanderhitch.request.forwarding.messages import GrantBarred, ReturnPermit
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.request.forwarding.task import (
    ROUTE_TABLE_WAIT_SHARE,
    ForwardContext,
    _await_admission,
    _translate,
)
from oleanderhitch.request.ids import PermitId
from tests.platform.test_requests import ENDPOINT
from tests.platform.test_routing import encode, make_configuration
from tests.process.site.test_subscribers import ManualClock
from tests.request.forwarding.test_core import NOW, make_state
from tests.request.forwarding.test_identity import make_table

CALLER_TIMEOUT = timedelta(milliseconds=500)
HEADERS = (
    ("host", "h.example"),
    ("x-request-id", "q"),
    ("x-deadline-ms", "500"),
    ("authorization", "Token k1"),
)
REQUEST = make_platform_dialect().read_request(
    HttpRequest("POST", "/a/x", HEADERS, b"")
)


class Dependencies:
    """The part of the collaborators that arrival uses."""

    def __init__(self) -> None:
        self.clock = make_system_clock()
        self.boot_clock = ManualClock()
        self.installed_state = InstalledState(
            self.boot_clock, make_lease_terms(timedelta(seconds=5))
        )

    def renew_lease(self) -> None:
        """Install a lease that begins now."""
        lease = Lease(self.boot_clock.now(), make_table().version)
        self.installed_state.renew_lease(lease)


def test_request_waits_for_the_table_and_the_lease() -> None:
    """Guard against a refusal that uses up a retry of the caller."""
    dependencies = Dependencies()
    waiting = gevent.spawn(_await_admission, REQUEST, dependencies)
    gevent.sleep(0.02)
    dependencies.installed_state.install(make_table())
    assert not dependencies.installed_state.is_serving
    gevent.sleep(0.02)
    assert not waiting.ready()
    dependencies.renew_lease()
    assert isinstance(waiting.get(timeout=1), Admission)
    assert dependencies.installed_state.is_serving


@pytest.mark.parametrize(
    ("has_table", "verdict"), [(True, Verdict.NOT_CURRENT), (False, Verdict.NOT_READY)]
)
def test_wait_is_a_share_of_the_caller_s_time(
    has_table: bool, verdict: Verdict
) -> None:
    """Guard against a wait that leaves no time for another host."""
    dependencies = Dependencies()
    if has_table:
        dependencies.installed_state.install(make_table())
    started_at = dependencies.clock.now()
    assert _await_admission(REQUEST, dependencies) is verdict  # type: ignore[arg-type]
    waited = dependencies.clock.now() - started_at
    assert waited / CALLER_TIMEOUT == pytest.approx(ROUTE_TABLE_WAIT_SHARE, rel=0.5)


def test_grant_is_not_used_after_a_suspension() -> None:
    """Guard against sending what was admitted before the host was suspended."""
    dependencies = Dependencies()
    dependencies.installed_state.install(make_table())
    dependencies.renew_lease()
    admission = _await_admission(REQUEST, dependencies)  # type: ignore[arg-type]
    assert isinstance(admission, Admission)
    state = make_state()
    state.identity, state.route = admission.identity, admission.route
    context = ForwardContext(dependencies, REQUEST, state, *[None] * 4)  # type: ignore[arg-type]
    grant = EndpointGranted(state.holder, PermitId(1), ENDPOINT)
    assert _translate(grant, context) == grant
    dependencies.boot_clock.time += timedelta(seconds=60)
    assert _translate(grant, context) == GrantBarred(grant, Verdict.NOT_CURRENT)
    dependencies.renew_lease()
    configuration = make_configuration(tenants=[])
    dependencies.installed_state.install(parse_route_table(encode(configuration)))
    assert _translate(grant, context) == GrantBarred(grant, Verdict.UNAUTHORIZED)


def test_kept_grant_is_not_used_after_a_suspension() -> None:
    """Guard against sending with a renewed credit what has lost its lease."""
    dependencies = Dependencies()
    dependencies.installed_state.install(make_table())
    dependencies.renew_lease()
    admission = _await_admission(REQUEST, dependencies)  # type: ignore[arg-type]
    assert isinstance(admission, Admission)
    state = make_state()
    state.identity, state.route = admission.identity, admission.route
    grant = EndpointGranted(state.holder, PermitId(1), ENDPOINT)
    state.phase, state.granted_endpoint = Phase.RENEWING, grant
    context = ForwardContext(dependencies, REQUEST, state, *[None] * 4)  # type: ignore[arg-type]
    renewed = CreditGranted(state.holder, NOW)
    assert _translate(renewed, context) == renewed
    dependencies.boot_clock.time += timedelta(seconds=60)
    barred = _translate(renewed, context)
    assert barred == GrantBarred(grant, Verdict.NOT_CURRENT)
    effects = handle(barred, state, NOW)
    assert ReturnPermit(grant.permit, AttemptResult.UNSENT) in effects
    assert state.has_ended

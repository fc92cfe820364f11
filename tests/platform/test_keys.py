"""Guard against keys of client accounts in logs, error texts and representations."""

from datetime import UTC, datetime
from typing import Any

import logbook
import pytest

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.platform.operators import make_platform_operator_dialect
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.metrics.text import format_metrics
from oleanderhitch.process.site.application import make_site_codec
from oleanderhitch.process.site.messages import PublishRouting, RoutingFound
from oleanderhitch.process.site.operators import (
    OperatorDependencies,
    make_operator_service,
)
from oleanderhitch.version.routes.ids import RoutingVersion
from tests.platform.test_routing import encode, make_configuration

KEY = "s3cret-key-0b1e"


class FakeWriter:
    """Records the response of an operator's call."""

    def respond(self, response: HttpResponse) -> None:
        """Record a response."""
        self.response = response


@pytest.mark.parametrize(
    "changes",
    [
        {"version": {"tenants": [KEY]}},
        {"version": KEY},
        {"routes": [KEY]},
        {"routes": KEY},
        {"services": [{"name": [KEY], "engine": KEY}]},
        {"limits": KEY},
        {"tenants": [{"name": "a", "api_keys": [KEY]}] * 2},
        {"tenants": [{"name": "a", "api_keys": [KEY, [KEY]]}]},
    ],
)
def test_refused_configuration_shows_no_key(changes: dict[str, Any]) -> None:
    """Guard against keys in the answer to operators, in their log and in metrics."""
    content = encode({**make_configuration(), **changes})
    metrics = make_metrics()
    service = make_operator_service(
        OperatorDependencies(
            make_platform_operator_dialect(1),
            make_mailbox("group client"),
            make_site_codec(),
            metrics,
        )
    )
    writer = FakeWriter()
    request = HttpRequest("PUT", "/-/config", (), content)
    with logbook.TestHandler().applicationbound() as handler:
        service(request, writer, make_mailbox("q"), datetime.now(UTC))  # type: ignore[arg-type]
    assert writer.response.status == 400
    assert KEY not in writer.response.body.decode()
    assert handler.records
    for record in handler.records:
        assert KEY not in f"{record.message} {record.kwargs}"
    assert KEY not in str(format_metrics(metrics.make_snapshot()))


def test_values_show_no_key() -> None:
    """Guard against keys in the messages of errors that quote a value."""
    content = encode(make_configuration(tenants=[{"name": "a", "api_keys": [KEY]}]))
    headers = (
        ("host", "h.example"),
        ("x-request-id", "q"),
        ("authorization", f"Token {KEY}"),
    )
    http = HttpRequest("POST", "/a/x", headers, KEY.encode())
    request = make_platform_dialect().read_request(http)
    version = RoutingVersion(1)
    values = (
        http,
        request,
        PublishRouting(version, content),
        RoutingFound(version, content),
    )
    assert KEY not in repr(values)

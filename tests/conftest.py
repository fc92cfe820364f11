"""Set up gevent and the Hypothesis profiles, which use fixed seeds."""

from oleanderhitch.process.runtime import prepare_gevent

# As in production, gevent has to patch sockets before they are imported.
prepare_gevent()

import os  # noqa: E402
from collections.abc import Iterator  # noqa: E402

import gevent  # noqa: E402
import pytest  # noqa: E402
from hypothesis import HealthCheck, settings  # noqa: E402

# tests/processes needs the deployment that scripts/process_tests.sh starts.
if "OLEANDERHITCH_DEPLOYMENT" not in os.environ:
    collect_ignore = ["processes"]

_COMMON = {
    "derandomize": True,
    "database": None,
    "deadline": None,
    "suppress_health_check": [HealthCheck.too_slow, HealthCheck.data_too_large],
}
settings.register_profile("default", max_examples=100, **_COMMON)
settings.register_profile("long", max_examples=2000, **_COMMON)
settings.load_profile(os.environ.get("OLEANDERHITCH_TEST_PROFILE", "default"))


@pytest.fixture(autouse=True)
def run_deferred_closes() -> Iterator[None]:
    """Let the event loop close directories whose close a test has deferred to it."""
    yield
    gevent.sleep(0)

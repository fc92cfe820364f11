"""Guard against processes that start with invalid settings."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.settings import (
    METRICS_PORT_VARIABLE,
    OPERATOR_CALLS_VARIABLE,
    PEER_KEY_VARIABLE,
    RAMP_UP_VARIABLE,
    SETTINGS_VARIABLE,
    make_entry_settings,
    make_store_settings,
    read_settings_file,
)
from oleanderhitch.process.quotas.messages import QuotaBounds

CONTENT: dict[str, Any] = {
    "node": "store-a-1",
    "zone": "a",
    "ip": "10.1.0.32",
    "listen": {"control": "10.1.0.32:8144"},
    "port_range": [7380, 7395],
    "seeds": ["10.1.0.32:8144", "10.2.0.37:8144"],
    "bootstrap": True,
    "tolerate": {"machines": 1, "zones": 0},
    "bounds": {"grace_s": 8, "drain_ms": 3000},
    "cloud_api": {"addr": "10.200.0.100:8142"},
    "data_dir": "/data/store",
    "a field that is not known": 1,
}


@pytest.fixture(autouse=True)
def environment(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Set the environment and return the path of the settings file."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(CONTENT))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    monkeypatch.setenv(PEER_KEY_VARIABLE, "key")
    monkeypatch.setenv(METRICS_PORT_VARIABLE, "9464")
    return path


def test_store_settings_are_decoded() -> None:
    """Guard against node ids that are not the peer addresses of the stores."""
    settings = make_store_settings(read_settings_file())
    assert settings.site.node == "10.1.0.32:7380"
    assert settings.site.seeds == ("10.1.0.32:7380", "10.2.0.37:7380")
    assert settings.site.stop_grace_period == timedelta(seconds=8)
    assert settings.site.metrics_address == "10.1.0.32:9464"
    assert settings.may_bootstrap


def test_endpoints_ramp_up_only_if_asked_for(
    environment: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a limit in deployments that do not ask for it, or a misread one."""
    listen = {"front": "10.1.0.32:80", "ready_addr": "10.1.0.32:81"}
    environment.write_text(json.dumps({**CONTENT, "listen": listen}))
    assert not make_entry_settings(read_settings_file()).is_ramp_up_enabled
    monkeypatch.setenv(RAMP_UP_VARIABLE, "on")
    assert make_entry_settings(read_settings_file()).is_ramp_up_enabled
    monkeypatch.setenv(RAMP_UP_VARIABLE, "yes")
    with pytest.raises(InvalidInputError, match="expected on or off"):
        make_entry_settings(read_settings_file())


def test_operators_are_answered_only_if_asked_for(
    environment: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against entry hosts that listen in deployments that do not ask for it."""
    listen = {"front": "10.1.0.32:80", "ready_addr": "10.1.0.32:81"}
    environment.write_text(json.dumps({**CONTENT, "listen": listen}))
    assert not make_entry_settings(read_settings_file()).has_operator_calls
    monkeypatch.setenv(OPERATOR_CALLS_VARIABLE, "on")
    assert make_entry_settings(read_settings_file()).has_operator_calls


def test_quotas_are_off_without_a_window(environment: Path) -> None:
    """Guard against limits in a deployment that has not asked for them."""
    assert make_store_settings(read_settings_file()).site.quota_bounds is None
    bounds = {"grace_s": 8, "quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20}
    environment.write_text(json.dumps({**CONTENT, "bounds": bounds}))
    expected = QuotaBounds(timedelta(seconds=5), 0.1, 20)
    assert make_store_settings(read_settings_file()).site.quota_bounds == expected


def test_error_names_every_fault(environment: Path) -> None:
    """Guard against reporting one fault per attempt instead of all of them."""
    faulty = {**CONTENT, "seeds": 7, "bounds": {}}
    del faulty["ip"]
    environment.write_text(json.dumps(faulty))
    with pytest.raises(InvalidInputError) as caught:
        read_settings_file()
    for name in ("ip", "seeds", "grace_s"):
        assert name in str(caught.value)


def test_missing_listen_address_is_an_error() -> None:
    """Guard against an error that does not name the missing listen address."""
    with pytest.raises(InvalidInputError, match=r"listen\.front"):
        make_entry_settings(read_settings_file())


def test_missing_peer_key_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a node that starts without the key it shares with its peers."""
    monkeypatch.delenv(PEER_KEY_VARIABLE)
    with pytest.raises(InvalidInputError, match=PEER_KEY_VARIABLE):
        make_store_settings(read_settings_file())


def test_revocation_limit_holds_only_where_it_is_strict(environment: Path) -> None:
    """Guard against leases where none are asked for, and against endless ones."""
    assert make_store_settings(read_settings_file()).site.revocation_limit is None
    bounds = {"grace_s": 8, "strict_revoke": True}
    environment.write_text(json.dumps({**CONTENT, "bounds": bounds}))
    site = make_store_settings(read_settings_file()).site
    assert site.revocation_limit == timedelta(seconds=5)
    for revoke_ms in (0, 1e300):
        faulty = {**CONTENT, "bounds": {**bounds, "revoke_ms": revoke_ms}}
        environment.write_text(json.dumps(faulty))
        with pytest.raises(InvalidInputError, match="revoke_ms"):
            make_store_settings(read_settings_file())

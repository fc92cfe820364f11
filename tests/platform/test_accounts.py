"""Guard against false client accounts and against keys that leave this system."""

from typing import Any

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.accounts import N_KEYS_LIMIT, parse_accounts
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.version.routes.accounts import make_key_digest
from tests.platform.test_routing import encode, make_configuration

KEY = "s3cretkey"


def make_tenant(**changes: Any) -> dict[str, Any]:
    """Return a valid account entry with some fields replaced."""
    return {"name": "desk", "api_keys": [KEY, "other"], **changes}


def test_key_finds_its_account() -> None:
    """Guard against requests that are served on behalf of another account."""
    tenants = [make_tenant(priority=2, rate_per_s=5, burst=7), {"name": "empty"}]
    table = parse_route_table(encode(make_configuration(tenants=tenants)))
    account = table.find_account(make_key_digest(KEY))
    assert account is not None
    assert (account.account, account.rank) == ("desk", 2)
    assert (account.requests_per_s, account.n_burst) == (5, 7)
    assert table.find_account(make_key_digest("unknown")) is None
    assert table.find_account(None) is None


def test_rate_of_zero_is_no_limit() -> None:
    """Guard against accounts without a limit that are refused everything."""
    accounts = parse_accounts([make_tenant(rate_per_s=0, burst=0)])
    assert accounts is not None
    assert accounts[0].requests_per_s is None


def test_empty_list_of_accounts_still_requires_keys() -> None:
    """Guard against opening all routes when the last account is removed."""
    assert parse_route_table(encode(make_configuration(tenants=[]))).has_accounts
    assert not parse_route_table(encode(make_configuration())).has_accounts


@pytest.mark.parametrize(
    "tenants",
    [
        {"desk": [KEY]},
        [KEY],
        [make_tenant(name="")],
        [make_tenant(name="a\nb")],
        [make_tenant(name=7)],
        [make_tenant(name="n" * 300)],
        [make_tenant(api_keys=KEY)],
        [make_tenant(api_keys=[KEY, 7])],
        [make_tenant(api_keys=[KEY + "\r\n"])],
        [make_tenant(api_keys=[KEY * 1000])],
        [make_tenant(api_keys=[f"{KEY}{n}" for n in range(N_KEYS_LIMIT + 1)])],
        [make_tenant(priority="1")],
        [make_tenant(priority=-1)],
        [make_tenant(rate_per_s=-1)],
        [make_tenant(rate_per_s="5")],
        [make_tenant(burst=float("inf"))],
        [make_tenant(burst=10**400)],
        [make_tenant(), make_tenant(api_keys=["third"])],
        [make_tenant(), make_tenant(name="second")],
    ],
)
def test_faulty_accounts_are_refused_without_showing_keys(tenants: Any) -> None:
    """Guard against accepting faulty accounts and against keys in error texts."""
    with pytest.raises(InvalidInputError) as caught:
        parse_accounts(tenants)
    assert "tenants" in str(caught.value)
    assert KEY not in str(caught.value)


def test_shared_key_names_both_accounts() -> None:
    """Guard against a refusal that does not tell which entries to correct."""
    with pytest.raises(InvalidInputError, match=r"tenants\[0\] and tenants\[1\]"):
        parse_accounts([make_tenant(), make_tenant(name="second")])

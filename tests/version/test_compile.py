"""Guard against wrong results of queries of a compiled configuration."""

from datetime import timedelta
from pathlib import Path

import pytest

from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import ModelEngine, PlainService
from oleanderhitch.version.exceptions import UndeclaredNameError
from tests.version.declarations import INVENTORY, RULES, make_drafts, replace_value

EXAMPLES = Path(__file__).parents[2] / "examples"


def test_pools_and_endpoints():
    """Guard against an endpoint in the wrong pool or without a declared property."""
    configuration = compile_configuration(3, make_drafts())
    pool = configuration.get_pool("pilot", "west")
    assert pool.id == "pilot@coast"
    assert pool.n_queued_limit == 7
    assert [endpoint.id for endpoint in pool.endpoints] == ["pilot-1", "pilot-2"]
    first, second = pool.endpoints
    assert first.kind == ModelEngine("pilot")
    assert (first.n_slots, first.cache_tokens) == (8, 1000)
    assert first.checks_fencing_tokens and not second.checks_fencing_tokens
    assert second.is_leaving and not first.is_leaving
    assert second.address == HostPort("::1", 8102)
    assert str(second.address) == "[::1]:8102"
    assert (second.data_centre, second.region) == ("west", "coast")
    runner = configuration.get_endpoint("ledger-1")
    assert runner.kind == PlainService("ledger")
    assert runner.answers_by_key
    assert configuration.list_pools("ledger") == (
        configuration.get_pool("ledger", "east"),
    )


def test_undeclared_names():
    """Guard against a default result for names that are not declared."""
    configuration = compile_configuration(3, make_drafts())
    for query in (
        lambda: configuration.get_pool("nobody", "west"),
        lambda: configuration.get_pool("pilot", "north"),
        lambda: configuration.get_endpoint("pilot-9"),
        lambda: configuration.get_account_rules("stranger"),
    ):
        with pytest.raises(UndeclaredNameError):
            query()


def test_account_rules():
    """Guard against applying another account's rules, or not applying defaults."""
    configuration = compile_configuration(3, make_drafts())
    office = configuration.get_account_rules("office")
    assert office.data_centres == {"east", "west"}
    assert (office.budget_tokens, office.n_turns_limit) == (1000, 10)
    assert office.silence_limit == timedelta(seconds=60)
    assert (office.n_requests_per_account, office.n_requests_per_pool) == (5, None)
    audit = configuration.get_account_rules("audit")
    assert audit.may_run_in("west") and not audit.may_run_in("east")
    assert (audit.budget_tokens, audit.n_requests_per_account) == (10, 1)
    assert audit.n_requests_per_program == 2


def test_unlisted_account():
    """Guard against rejecting unlisted accounts although the rules admit them."""
    rules = replace_value(RULES, ("defaults", "admits_unlisted_accounts"), True)
    configuration = compile_configuration(3, make_drafts(rules=rules))
    assert configuration.get_account_rules("stranger").budget_tokens == 1000


def test_undeclared_operation_is_not_idempotent():
    """Guard against retrying an operation that is not declared idempotent."""
    configuration = compile_configuration(3, make_drafts())
    assert configuration.is_idempotent("ledger", "read")
    assert not configuration.is_idempotent("ledger", "file")
    assert not configuration.is_idempotent("ledger", "unheard-of")


def test_documents_are_combined_and_unchanged_ones_are_reused():
    """Guard against parsing all documents again after a change to one of them."""
    more = {"accounts": [{"name": "night"}]}
    first = compile_configuration(3, make_drafts(rules__more=more))
    assert first.get_account_rules("night").budget_tokens == 1000
    inventory = replace_value(INVENTORY, ("engines", 0, "slots"), 9)
    second = compile_configuration(4, make_drafts(inventory, rules__more=more), first)
    assert second.documents["rules.more"] is first.documents["rules.more"]
    assert second.get_endpoint("pilot-1").n_slots == 9


def test_unchanged_endpoints_move_with_their_data_centre():
    """Guard against a reused endpoint that stays in the pool of its old region."""
    locations = {
        "regions": [{"name": "coast"}, {"name": "inland"}],
        "data_centres": [{"name": "east", "region": "coast"}],
    }
    engines = {**INVENTORY, "regions": [], "data_centres": [], "engines": []}
    engines["engines"] = [INVENTORY["engines"][0]]
    engines["runners"] = []
    rules = replace_value(RULES, ("accounts",), [])
    first = compile_configuration(
        1, make_drafts(engines, rules, inventory__dc=locations)
    )
    unchanged = compile_configuration(
        2, make_drafts(engines, rules, inventory__dc=locations), first
    )
    assert unchanged.get_endpoint("pilot-1") is first.get_endpoint("pilot-1")
    moved_locations = replace_value(locations, ("data_centres", 0, "region"), "inland")
    changed = compile_configuration(
        3, make_drafts(engines, rules, inventory__dc=moved_locations), unchanged
    )
    assert changed.get_endpoint("pilot-1").pool == "pilot@inland"


@pytest.mark.parametrize(
    ("folder", "pool_sizes", "idempotent_operation"),
    [
        (
            "waiver-office",
            {"veslo-llm@hr-coast": 6, "veslo-app@hr-coast": 4},
            ("veslo-app", "check_booking"),
        ),
        (
            "forgeplan",
            {"agent-models@bretagne": 6, "shop-actions@bretagne": 3},
            ("shop-actions", "read_schedule"),
        ),
    ],
)
def test_examples(folder, pool_sizes, idempotent_operation):
    """Guard against an example configuration that the checks reject."""
    configuration = compile_configuration(1, read_folder(EXAMPLES / folder))
    sizes = {pool.id: len(pool.endpoints) for pool in configuration.pools.values()}
    assert sizes == pool_sizes
    assert configuration.is_idempotent(*idempotent_operation)
    assert sum(configuration.operations.values()) == 1

"""Guard against faults of configuration documents that are not reported."""

from pathlib import Path

import pytest

from oleanderhitch.version.checks import CHECKS
from oleanderhitch.version.compile import check_documents, compile_configuration
from oleanderhitch.version.documents import DocumentDraft, make_draft
from oleanderhitch.version.exceptions import InvalidConfigurationError
from oleanderhitch.version.ids import ConfigurationVersion
from oleanderhitch.version.parsing import DOCUMENT_LIMIT_CHARACTERS
from tests.version.declarations import INVENTORY, RULES, make_drafts, replace_value

ROOT = Path(__file__).parents[2]
ENGINE = ("engines", 0)

INVENTORY_FAULTS = [
    ("inventory.E002", (*ENGINE, "slotz"), 3),
    ("inventory.E003", (*ENGINE, "slots"), None),
    ("inventory.E004", (*ENGINE, "slots"), "8"),
    ("inventory.E004", (*ENGINE, "slots"), True),
    ("inventory.E004", (*ENGINE, "checks_fencing_tokens"), 1),
    ("inventory.E004", ("regions",), {"name": "coast"}),
    ("inventory.E005", (*ENGINE, "slots"), 0),
    ("inventory.E005", ("hosts", 0, "role"), "boss"),
    ("inventory.E006", (*ENGINE, "name"), "a b"),
    ("inventory.E007", (*ENGINE, "address"), "localhost:80"),
    ("inventory.E007", (*ENGINE, "address"), "127.0.0.1"),
    ("inventory.E007", (*ENGINE, "address"), "127.0.0.1:0"),
    ("inventory.E007", (*ENGINE, "address"), "127.0.0.1:65536"),
    ("inventory.E007", (*ENGINE, "address"), 80),
    ("inventory.E008", (*ENGINE, "name"), "ledger-1"),
    ("inventory.E008", ("data_centres", 0, "name"), "coast"),
    ("inventory.E009", (*ENGINE, "model"), "ledger"),
    ("inventory.E009", (*ENGINE, "data_centre"), "north"),
    ("inventory.E009", ("data_centres", 0, "region"), "east"),
    ("inventory.E010", (*ENGINE, "address"), "127.0.0.1:7101"),
]
RULES_FAULTS = [
    ("rules.E002", ("defaults", "limits", "requests"), 3),
    ("rules.E003", ("defaults", "places"), None),
    ("rules.E004", ("defaults", "budget_tokens"), 1.5),
    ("rules.E005", ("accounts", 1, "budget_tokens"), 0),
    ("rules.E005", ("defaults", "silence_limit_s"), 1e9),
    ("rules.E006", ("accounts", 1, "name"), "a@b"),
    ("rules.E008", ("accounts", 1, "name"), "office"),
    ("rules.E008", ("operations", 1, "name"), "file"),
    ("rules.E009", ("accounts", 1, "places"), ["moon"]),
    ("rules.E009", ("operations", 1, "service"), "pilot"),
    ("rules.E009", ("queues", 0, "name"), "nobody"),
    ("rules.E011", ("defaults",), None),
]


def _find_failed_checks(drafts):
    return {fault.check for fault in check_documents(drafts)}


@pytest.mark.parametrize(("check", "path", "value"), INVENTORY_FAULTS)
def test_inventory_faults(check, path, value):
    """Guard against an inventory fault that is not reported."""
    assert check in _find_failed_checks(
        make_drafts(replace_value(INVENTORY, path, value))
    )


@pytest.mark.parametrize(("check", "path", "value"), RULES_FAULTS)
def test_rules_faults(check, path, value):
    """Guard against a fault in the rules that is not reported."""
    assert check in _find_failed_checks(
        make_drafts(rules=replace_value(RULES, path, value))
    )


@pytest.mark.parametrize(
    ("check", "drafts"),
    [
        ("documents.E001", (*make_drafts(), make_draft("ruls", {}))),
        ("documents.E001", (*make_drafts(), make_draft("rules.{a}", {}))),
        ("documents.E002", make_drafts(rules=None)),
        ("documents.E002", ()),
        ("documents.E005", (*make_drafts(), make_draft("rules", {}))),
        (
            "documents.E006",
            make_drafts(rules__big={"queues": ["x" * DOCUMENT_LIMIT_CHARACTERS]}),
        ),
        ("inventory.E001", make_drafts(inventory=[])),
        ("rules.E001", (DocumentDraft("rules", "{"), make_drafts()[0])),
        ("rules.E011", make_drafts(rules__more={"defaults": RULES["defaults"]})),
        (
            "inventory.E008",
            make_drafts(inventory__more={"models": [{"name": "pilot"}]}),
        ),
    ],
)
def test_document_faults(check, drafts):
    """Guard against accepting missing, malformed or conflicting documents."""
    assert check in _find_failed_checks(drafts)


def test_all_faults_are_listed():
    """Guard against reporting one fault per attempt instead of all of them."""
    inventory = INVENTORY
    rules = RULES
    for _, path, value in INVENTORY_FAULTS[:1] + INVENTORY_FAULTS[9:10]:
        inventory = replace_value(inventory, path, value)
    rules = replace_value(rules, ("defaults", "places"), None)
    with pytest.raises(InvalidConfigurationError) as caught:
        compile_configuration(ConfigurationVersion(1), make_drafts(inventory, rules))
    assert [fault.check for fault in caught.value.faults] == [
        "inventory.E007",
        "inventory.E002",
        "rules.E003",
    ]
    for fault in caught.value.faults:
        assert fault.given and fault.expected
        assert fault.hint == CHECKS[fault.check].hint


def test_faults_of_names_have_a_location():
    """Guard against a fault without the location that an operator has to correct."""
    inventory = replace_value(INVENTORY, ("engines", 1, "address"), "127.0.0.1:8101")
    rules = replace_value(RULES, ("accounts", 1, "places"), ["west", "moon"])
    places = [fault.place for fault in check_documents(make_drafts(inventory, rules))]
    assert places == [
        "inventory: engines[1].address",
        "rules: accounts[1].places[1]",
    ]


def test_valid_documents_have_no_fault():
    """Guard against a check that rejects valid documents."""
    assert check_documents(make_drafts()) == ()


def test_every_check_is_documented():
    """Guard against a check that the operators' documentation does not list."""
    page = (ROOT / "docs" / "operators" / "configuration.md").read_text()
    for check in CHECKS.values():
        assert f"| `{check.identifier}` | {check.summary} | {check.hint} |" in page

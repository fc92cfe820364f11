"""Define the checks of configuration documents.

The identifier of a check never changes its meaning, so that operators can look it up.
"""

from oleanderhitch.values import Value

GIVEN_LIMIT_CHARACTERS = 120


class Check(Value, frozen=True):
    """A check, with a hint on how an operator corrects the fault."""

    identifier: str
    summary: str
    hint: str


class Fault(Value, frozen=True):
    """A failed check: where, the value found and the value expected."""

    check: str
    place: str
    given: str
    expected: str
    hint: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return (
            f"{self.check} {self.place}: given {self.given}; "
            f"expected {self.expected}. {self.hint}"
        )


_SCHEMA_CHECKS = (
    ("E001", "The document is not a mapping", "Write the document as key: value."),
    ("E002", "A key is unknown", "Remove the key or correct its spelling."),
    ("E003", "A key is missing", "Add the key."),
    ("E004", "A value has the wrong type", "Correct the type of the value."),
    ("E005", "A value is out of range", "Choose a value within the range."),
    ("E006", "A name has a character that names may not have", "Rename it."),
)

_OTHER_CHECKS = (
    Check(
        "documents.E001",
        "A document has a name of no known kind",
        "Name it inventory, rules, inventory.PART or rules.PART.",
    ),
    Check(
        "documents.E002",
        "A document is missing",
        "Add the document; every configuration has an inventory and rules.",
    ),
    Check(
        "documents.E003",
        "A file is not YAML",
        "Correct the syntax at the line that is named.",
    ),
    Check(
        "documents.E004",
        "A mapping has the same key twice",
        "Keep one of the two entries.",
    ),
    Check(
        "documents.E005",
        "A document name occurs twice",
        "Keep one of the two files.",
    ),
    Check(
        "documents.E006",
        "A document is too large",
        "Split it into parts named KIND.PART.",
    ),
    Check(
        "inventory.E007",
        "An address is not an IP number and a port",
        "Write an IP number and a port, such as 10.0.0.7:8000; names are not looked "
        "up.",
    ),
    Check("inventory.E008", "A name is declared twice", "Rename one of the two."),
    Check(
        "inventory.E009",
        "A name refers to nothing that is declared",
        "Declare the name or correct its spelling.",
    ),
    Check(
        "inventory.E010",
        "Two endpoints or hosts have the same address",
        "Correct one of the two addresses.",
    ),
    Check("rules.E008", "A name is declared twice", "Keep one of the two entries."),
    Check(
        "rules.E009",
        "A name refers to nothing that is declared",
        "Declare the name in the inventory or correct its spelling.",
    ),
    Check(
        "rules.E011",
        "The default rules are missing or occur twice",
        "Keep exactly one 'defaults' section over all rules documents.",
    ),
)

CHECKS: dict[str, Check] = {
    check.identifier: check
    for check in (
        *(
            Check(f"{kind}.{number}", summary, hint)
            for kind in ("inventory", "rules")
            for number, summary, hint in _SCHEMA_CHECKS
        ),
        *_OTHER_CHECKS,
    )
}


def make_fault(check: str, place: str, given: object, expected: str) -> Fault:
    """Return a fault with the hint of its check; a long value is truncated."""
    text = given if isinstance(given, str) else repr(given)
    if len(text) > GIVEN_LIMIT_CHARACTERS:
        text = text[:GIVEN_LIMIT_CHARACTERS] + "..."
    return Fault(check, place, text, expected, CHECKS[check].hint)

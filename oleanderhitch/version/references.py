"""Check for duplicate and undeclared names across all documents."""

from collections.abc import Hashable, Iterable, Iterator, Sequence
from operator import attrgetter

from oleanderhitch.values import Value
from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.ids import DocumentName
from oleanderhitch.version.inventory import Inventory
from oleanderhitch.version.rules import Rules

NamedInventory = tuple[DocumentName, Inventory]
NamedRules = tuple[DocumentName, Rules]


class _SectionValues(Value, frozen=True):
    """The names or addresses in one section of a document.

    Locations are formatted for faults only: a change to one entry is checked against
    all entries, 40,000 at the design scale.
    """

    section: str
    attribute: str
    values: Sequence[Hashable]

    def format_location(self, index: int) -> str:
        """Return the path of the value at an index, as shown to operators."""
        return f"{self.section}[{index}]{self.attribute}"


def check_inventories(inventories: Sequence[NamedInventory]) -> list[Fault]:
    """Return duplicate and undeclared names and addresses of all inventories."""
    regions = _collect(inventories, "name", "regions")
    data_centres = _collect(inventories, "name", "data_centres")
    models = _collect(inventories, "name", "models")
    services = _collect(inventories, "name", "services")
    endpoints = _collect(inventories, "name", "engines", "runners")
    addresses = _collect(inventories, "address", "hosts", "engines", "runners")
    duplicate = "inventory.E008"
    undeclared = "inventory.E009"
    return [
        *_find_duplicates(
            duplicate, [*regions, *data_centres], "region or data centre"
        ),
        *_find_duplicates(duplicate, _collect(inventories, "name", "hosts"), "host"),
        *_find_duplicates(duplicate, [*models, *services], "model or service"),
        *_find_duplicates(duplicate, endpoints, "endpoint"),
        *_find_duplicates("inventory.E010", addresses, "address"),
        *_find_undeclared(
            undeclared, _collect(inventories, "region", "data_centres"), regions
        ),
        *_find_undeclared(
            undeclared,
            _collect(inventories, "data_centre", "hosts", "engines", "runners"),
            data_centres,
        ),
        *_find_undeclared(
            undeclared, _collect(inventories, "model", "engines"), models
        ),
        *_find_undeclared(
            undeclared, _collect(inventories, "service", "runners"), services
        ),
    ]


def check_rules(
    rules: Sequence[NamedRules], inventories: Sequence[NamedInventory]
) -> list[Fault]:
    """Return duplicate and undeclared names of all rules documents."""
    services = _collect(inventories, "name", "services")
    places = _collect(inventories, "name", "regions", "data_centres")
    pools = [*_collect(inventories, "name", "models"), *services]
    duplicate = "rules.E008"
    undeclared = "rules.E009"
    return [
        *_check_defaults(rules),
        *_find_duplicates(duplicate, _collect(rules, "name", "accounts"), "account"),
        *_find_duplicates(duplicate, _collect_operations(rules), "operation"),
        *_find_duplicates(duplicate, _collect(rules, "name", "queues"), "queue"),
        *_find_undeclared(undeclared, _collect_places(rules), places),
        *_find_undeclared(
            undeclared, _collect(rules, "service", "operations"), services
        ),
        *_find_undeclared(undeclared, _collect(rules, "name", "queues"), pools),
    ]


def _collect(
    documents: Iterable[tuple[DocumentName, object]], attribute: str, *sections: str
) -> list[_SectionValues]:
    get_attribute = attrgetter(attribute)
    return [
        _SectionValues(
            f"{name}: {section}",
            f".{attribute}",
            list(map(get_attribute, getattr(declarations, section))),
        )
        for section in sections
        for name, declarations in documents
    ]


def _collect_operations(documents: Sequence[NamedRules]) -> list[_SectionValues]:
    return [
        _SectionValues(
            f"{name}: operations",
            "",
            [f"{operation.service}/{operation.name}" for operation in rules.operations],
        )
        for name, rules in documents
    ]


def _collect_places(documents: Sequence[NamedRules]) -> Iterator[_SectionValues]:
    for name, rules in documents:
        if rules.defaults is not None:
            yield _SectionValues(f"{name}: defaults.places", "", rules.defaults.places)
        for index, account in enumerate(rules.accounts):
            if account.places is not None:
                section = f"{name}: accounts[{index}].places"
                yield _SectionValues(section, "", account.places)


def _check_defaults(documents: Sequence[NamedRules]) -> Iterator[Fault]:
    names = [name for name, rules in documents if rules.defaults is not None]
    if len(names) != 1:
        yield make_fault(
            "rules.E011",
            "rules: defaults",
            f"{len(names)} sections ({', '.join(names) or 'none'})",
            "exactly one",
        )


def _find_duplicates(
    check: str, sections: Sequence[_SectionValues], described_as: str
) -> Iterator[Fault]:
    n_values = sum(len(section.values) for section in sections)
    if len(set().union(*(section.values for section in sections))) == n_values:
        return
    first_locations: dict[Hashable, str] = {}
    for section in sections:
        for index, value in enumerate(section.values):
            location = section.format_location(index)
            if value in first_locations:
                expected = f"a {described_as} that {first_locations[value]} is not"
                yield make_fault(check, location, str(value), expected)
            else:
                first_locations[value] = location


def _find_undeclared(
    check: str, sections: Iterable[_SectionValues], declared: Iterable[_SectionValues]
) -> Iterator[Fault]:
    declared_values = set().union(*(section.values for section in declared))
    for section in sections:
        if declared_values.issuperset(section.values):
            continue
        for index, value in enumerate(section.values):
            if value not in declared_values:
                suggestions = ", ".join(
                    sorted(str(name) for name in declared_values)[:10]
                )
                yield make_fault(
                    check,
                    section.format_location(index),
                    str(value),
                    f"one of {suggestions or 'the declared names'}",
                )

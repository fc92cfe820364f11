"""Check the names of all documents against each other."""

from collections.abc import Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from operator import attrgetter

from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.ids import DocumentName
from oleanderhitch.version.inventory import Inventory
from oleanderhitch.version.rules import Rules

Part = tuple[DocumentName, Inventory]
RulesPart = tuple[DocumentName, Rules]


@dataclass(frozen=True, slots=True)
class _Names:
    """Hold the names or addresses of one section of a document.

    Places are written out for faults only: at design scale a change to one of
    40,000 entries is checked against all of them.
    """

    section: str
    attribute: str
    names: Sequence[Hashable]

    def make_place(self, index: int) -> str:
        """Return where the name with an index stands."""
        return f"{self.section}[{index}]{self.attribute}"


def check_inventories(parts: Sequence[Part]) -> list[Fault]:
    """Return the faults of names and addresses over all inventory documents."""
    regions = _collect(parts, "name", "regions")
    data_centres = _collect(parts, "name", "data_centres")
    models = _collect(parts, "name", "models")
    services = _collect(parts, "name", "services")
    endpoints = _collect(parts, "name", "engines", "runners")
    addresses = _collect(parts, "address", "hosts", "engines", "runners")
    check = "inventory.E008"
    unknown = "inventory.E009"
    return [
        *_find_duplicates(check, [*regions, *data_centres], "region or data centre"),
        *_find_duplicates(check, _collect(parts, "name", "hosts"), "host"),
        *_find_duplicates(check, [*models, *services], "model or service"),
        *_find_duplicates(check, endpoints, "endpoint"),
        *_find_duplicates("inventory.E010", addresses, "address"),
        *_find_unknown(unknown, _collect(parts, "region", "data_centres"), regions),
        *_find_unknown(
            unknown,
            _collect(parts, "data_centre", "hosts", "engines", "runners"),
            data_centres,
        ),
        *_find_unknown(unknown, _collect(parts, "model", "engines"), models),
        *_find_unknown(unknown, _collect(parts, "service", "runners"), services),
    ]


def check_rules(parts: Sequence[RulesPart], inventories: Sequence[Part]) -> list[Fault]:
    """Return the faults of names over all rules documents."""
    services = _collect(inventories, "name", "services")
    places = _collect(inventories, "name", "regions", "data_centres")
    pools = [*_collect(inventories, "name", "models"), *services]
    check = "rules.E008"
    unknown = "rules.E009"
    return [
        *_check_defaults(parts),
        *_find_duplicates(check, _collect(parts, "name", "accounts"), "account"),
        *_find_duplicates(check, _collect_operations(parts), "operation"),
        *_find_duplicates(check, _collect(parts, "name", "queues"), "queue"),
        *_find_unknown(unknown, _collect_places(parts), places),
        *_find_unknown(unknown, _collect(parts, "service", "operations"), services),
        *_find_unknown(unknown, _collect(parts, "name", "queues"), pools),
    ]


def _collect(
    parts: Iterable[tuple[DocumentName, object]], attribute: str, *sections: str
) -> list[_Names]:
    read = attrgetter(attribute)
    return [
        _Names(
            f"{name}: {section}",
            f".{attribute}",
            list(map(read, getattr(declarations, section))),
        )
        for section in sections
        for name, declarations in parts
    ]


def _collect_operations(parts: Sequence[RulesPart]) -> list[_Names]:
    return [
        _Names(
            f"{name}: operations",
            "",
            [f"{entry.service}/{entry.name}" for entry in rules.operations],
        )
        for name, rules in parts
    ]


def _collect_places(parts: Sequence[RulesPart]) -> Iterator[_Names]:
    for name, rules in parts:
        if rules.defaults is not None:
            yield _Names(f"{name}: defaults.places", "", rules.defaults.places)
        for index, account in enumerate(rules.accounts):
            if account.places is not None:
                section = f"{name}: accounts[{index}].places"
                yield _Names(section, "", account.places)


def _check_defaults(parts: Sequence[RulesPart]) -> Iterator[Fault]:
    names = [name for name, rules in parts if rules.defaults is not None]
    if len(names) != 1:
        yield make_fault(
            "rules.E011",
            "rules: defaults",
            f"{len(names)} sections ({', '.join(names) or 'none'})",
            "exactly one",
        )


def _find_duplicates(
    check: str, sections: Sequence[_Names], what: str
) -> Iterator[Fault]:
    n_names = sum(len(section.names) for section in sections)
    if len(set().union(*(section.names for section in sections))) == n_names:
        return
    first: dict[Hashable, str] = {}
    for section in sections:
        for index, name in enumerate(section.names):
            place = section.make_place(index)
            if name in first:
                expected = f"a {what} that {first[name]} is not"
                yield make_fault(check, place, str(name), expected)
            else:
                first[name] = place


def _find_unknown(
    check: str, sections: Iterable[_Names], declared: Iterable[_Names]
) -> Iterator[Fault]:
    known = set().union(*(section.names for section in declared))
    for section in sections:
        if known.issuperset(section.names):
            continue
        for index, name in enumerate(section.names):
            if name not in known:
                names = ", ".join(sorted(str(entry) for entry in known)[:10])
                yield make_fault(
                    check,
                    section.make_place(index),
                    str(name),
                    f"one of {names or 'the declared names'}",
                )

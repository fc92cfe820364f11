"""Check the names of all documents against each other."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.ids import DocumentName
from oleanderhitch.version.inventory import Inventory
from oleanderhitch.version.rules import Rules

Part = tuple[DocumentName, Inventory]
RulesPart = tuple[DocumentName, Rules]


@dataclass(frozen=True, slots=True)
class _Use:
    """Hold a name or address with the place where it stands."""

    place: str
    name: str


def check_inventories(parts: Sequence[Part]) -> list[Fault]:
    """Return the faults of names and addresses over all inventory documents."""
    regions = _collect(parts, "regions")
    data_centres = _collect(parts, "data_centres")
    models = _collect(parts, "models")
    services = _collect(parts, "services")
    endpoints = _collect(parts, "engines", "runners")
    check = "inventory.E008"
    return [
        *_find_duplicates(check, [*regions, *data_centres], "region or data centre"),
        *_find_duplicates(check, _collect(parts, "hosts"), "host"),
        *_find_duplicates(check, [*models, *services], "model or service"),
        *_find_duplicates(check, endpoints, "endpoint"),
        *_find_duplicates(
            "inventory.E010",
            _collect(parts, "hosts", "engines", "runners", attribute="address"),
            "address",
        ),
        *_find_unknown(
            "inventory.E009", _collect_uses(parts, "data_centres", "region"), regions
        ),
        *_find_unknown(
            "inventory.E009",
            [
                use
                for section in ("hosts", "engines", "runners")
                for use in _collect_uses(parts, section, "data_centre")
            ],
            data_centres,
        ),
        *_find_unknown(
            "inventory.E009", _collect_uses(parts, "engines", "model"), models
        ),
        *_find_unknown(
            "inventory.E009", _collect_uses(parts, "runners", "service"), services
        ),
    ]


def check_rules(parts: Sequence[RulesPart], inventories: Sequence[Part]) -> list[Fault]:
    """Return the faults of names over all rules documents."""
    services = _collect(inventories, "services")
    places = [
        *_collect(inventories, "regions"),
        *_collect(inventories, "data_centres"),
    ]
    pools = [*_collect(inventories, "models"), *services]
    return [
        *_check_defaults(parts),
        *_find_duplicates("rules.E008", _collect(parts, "accounts"), "account"),
        *_find_duplicates("rules.E008", _collect_operations(parts), "operation"),
        *_find_duplicates("rules.E008", _collect(parts, "queues"), "queue"),
        *_find_unknown("rules.E009", _collect_places(parts), places),
        *_find_unknown(
            "rules.E009", _collect_uses(parts, "operations", "service"), services
        ),
        *_find_unknown("rules.E009", _collect_uses(parts, "queues", "name"), pools),
    ]


def _collect(
    parts: Iterable[tuple[DocumentName, object]],
    *sections: str,
    attribute: str = "name",
) -> list[_Use]:
    return [
        use for section in sections for use in _collect_uses(parts, section, attribute)
    ]


def _collect_uses(
    parts: Iterable[tuple[DocumentName, object]], section: str, attribute: str
) -> list[_Use]:
    return [
        _Use(f"{name}: {section}[{index}].{attribute}", str(getattr(entry, attribute)))
        for name, declarations in parts
        for index, entry in enumerate(getattr(declarations, section))
    ]


def _collect_operations(parts: Sequence[RulesPart]) -> list[_Use]:
    return [
        _Use(f"{name}: operations[{index}]", f"{entry.service}/{entry.name}")
        for name, rules in parts
        for index, entry in enumerate(rules.operations)
    ]


def _collect_places(parts: Sequence[RulesPart]) -> Iterator[_Use]:
    for name, rules in parts:
        if rules.defaults is not None:
            for place in rules.defaults.places:
                yield _Use(f"{name}: defaults.places", place)
        for index, account in enumerate(rules.accounts):
            for place in account.places or ():
                yield _Use(f"{name}: accounts[{index}].places", place)


def _check_defaults(parts: Sequence[RulesPart]) -> Iterator[Fault]:
    names = [name for name, rules in parts if rules.defaults is not None]
    if len(names) != 1:
        yield make_fault(
            "rules.E011",
            "rules: defaults",
            f"{len(names)} sections ({', '.join(names) or 'none'})",
            "exactly one",
        )


def _find_duplicates(check: str, uses: Iterable[_Use], what: str) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for use in uses:
        if use.name in first:
            yield make_fault(
                check, use.place, use.name, f"a {what} that {first[use.name]} is not"
            )
        else:
            first[use.name] = use.place


def _find_unknown(
    check: str, uses: Iterable[_Use], declared: Iterable[_Use]
) -> Iterator[Fault]:
    names = {use.name for use in declared}
    for use in uses:
        if use.name not in names:
            yield make_fault(
                check,
                use.place,
                use.name,
                "one of " + (", ".join(sorted(names)[:10]) or "the declared names"),
            )

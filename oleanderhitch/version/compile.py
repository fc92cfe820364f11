"""Check documents and compile them into the form that the data path reads."""

from collections.abc import Iterable, Iterator, Sequence
from functools import singledispatch

from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.configuration import (
    Configuration,
    Endpoint,
    EndpointKind,
    ModelEngine,
    PlainService,
    Pool,
    make_pool_id,
)
from oleanderhitch.version.documents import Document, find_kind
from oleanderhitch.version.exceptions import InvalidConfigurationError
from oleanderhitch.version.ids import (
    ConfigurationVersion,
    DataCentreName,
    DocumentName,
    PoolId,
    RegionName,
)
from oleanderhitch.version.inventory import (
    EngineDeclaration,
    Inventory,
    RunnerDeclaration,
)
from oleanderhitch.version.parsing import ReadDocument, read_document
from oleanderhitch.version.references import check_inventories, check_rules
from oleanderhitch.version.rules import Rules
from oleanderhitch.version.states import DocumentKind

Regions = dict[DataCentreName, RegionName]


def check_documents(documents: Sequence[Document]) -> tuple[Fault, ...]:
    """Return all faults of a set of documents."""
    return _check(documents, [read_document(document) for document in documents])


def compile_configuration(
    version: ConfigurationVersion,
    documents: Sequence[Document],
    previous: Configuration | None = None,
) -> Configuration:
    """Return the compiled form; raise InvalidConfigurationError with all faults.

    Documents whose content the previous configuration has already read are not
    read again, since most changes touch one document of many.
    """
    read = [_read_again(document, previous) for document in documents]
    faults = _check(documents, read)
    if faults:
        raise InvalidConfigurationError(faults)
    return _build(version, read, previous)


def _read_again(document: Document, previous: Configuration | None) -> ReadDocument:
    known = previous.documents.get(document.name) if previous is not None else None
    if known is not None and known.content == document.content:
        return known
    return read_document(document)


def _check(
    documents: Sequence[Document], read: Sequence[ReadDocument]
) -> tuple[Fault, ...]:
    faults = [*_check_names(documents)]
    faults.extend(fault for entry in read for fault in entry.faults)
    if any(entry.declarations is None for entry in read):
        # References into a document that could not be read would all be faults.
        return tuple(faults)
    inventories = _pick_inventories(read)
    faults.extend(check_inventories(inventories))
    faults.extend(check_rules(_pick_rules(read), inventories))
    return tuple(faults)


def _check_names(documents: Sequence[Document]) -> Iterator[Fault]:
    seen: set[DocumentName] = set()
    for document in documents:
        if document.name in seen:
            yield make_fault(
                "documents.E005", document.name, document.name, "each name once"
            )
        seen.add(document.name)
    kinds = {find_kind(name) for name in seen}
    for kind in DocumentKind:
        if kind not in kinds:
            yield make_fault(
                "documents.E002", kind.value, "no document", f"a document {kind.value}"
            )


def _pick_inventories(
    read: Iterable[ReadDocument],
) -> list[tuple[DocumentName, Inventory]]:
    return [
        (entry.name, entry.declarations)
        for entry in read
        if isinstance(entry.declarations, Inventory)
    ]


def _pick_rules(read: Iterable[ReadDocument]) -> list[tuple[DocumentName, Rules]]:
    return [
        (entry.name, entry.declarations)
        for entry in read
        if isinstance(entry.declarations, Rules)
    ]


def _build(
    version: ConfigurationVersion,
    read: Sequence[ReadDocument],
    previous: Configuration | None,
) -> Configuration:
    inventories = [inventory for _, inventory in _pick_inventories(read)]
    rules = [part for _, part in _pick_rules(read)]
    regions = {
        entry.name: entry.region for part in inventories for entry in part.data_centres
    }
    parts = {
        entry.name: _find_endpoints(entry, regions, previous)
        or tuple(_make_endpoints(entry.declarations, regions))
        for entry in read
        if isinstance(entry.declarations, Inventory)
    }
    endpoints = [endpoint for part in parts.values() for endpoint in part]
    queue_limits = {
        entry.name: entry.queued_requests for part in rules for entry in part.queues
    }
    return Configuration(
        version=version,
        data_centres=regions,
        hosts=tuple(host for part in inventories for host in part.hosts),
        pools=_make_pools(endpoints, queue_limits),
        endpoints={endpoint.id: endpoint for endpoint in endpoints},
        defaults=next(part.defaults for part in rules if part.defaults is not None),
        accounts={entry.name: entry for part in rules for entry in part.accounts},
        operations={
            (entry.service, entry.name): entry.is_idempotent
            for part in rules
            for entry in part.operations
        },
        documents={entry.name: entry for entry in read},
        weight_bytes={
            model.name: model.weight_bytes
            for part in inventories
            for model in part.models
        },
        endpoints_by_document=parts,
    )


def _find_endpoints(
    entry: ReadDocument, regions: Regions, previous: Configuration | None
) -> tuple[Endpoint, ...]:
    """Return the endpoints made before from the same document, if there are any."""
    if previous is None or previous.documents.get(entry.name) is not entry:
        return ()
    if previous.data_centres != regions:
        return ()
    return previous.endpoints_by_document.get(entry.name, ())


def _make_endpoints(inventory: Inventory, regions: Regions) -> Iterator[Endpoint]:
    for engine in inventory.engines:
        yield _make_engine(engine, regions[engine.data_centre])
    for runner in inventory.runners:
        yield _make_runner(runner, regions[runner.data_centre])


def _make_engine(engine: EngineDeclaration, region: RegionName) -> Endpoint:
    return Endpoint(
        id=engine.name,
        kind=ModelEngine(engine.model),
        address=engine.address,
        n_slots=engine.slots,
        cache_tokens=engine.cache_tokens,
        checks_fencing_tokens=engine.checks_fencing_tokens,
        answers_by_key=False,
        is_leaving=engine.is_leaving,
        data_centre=engine.data_centre,
        region=region,
        pool=make_pool_id(engine.model, region),
    )


def _make_runner(runner: RunnerDeclaration, region: RegionName) -> Endpoint:
    return Endpoint(
        id=runner.name,
        kind=PlainService(runner.service),
        address=runner.address,
        n_slots=runner.slots,
        cache_tokens=0,
        checks_fencing_tokens=False,
        answers_by_key=runner.answers_by_key,
        is_leaving=runner.is_leaving,
        data_centre=runner.data_centre,
        region=region,
        pool=make_pool_id(runner.service, region),
    )


def _make_pools(
    endpoints: Iterable[Endpoint], queue_limits: dict[str, int]
) -> dict[PoolId, Pool]:
    members: dict[PoolId, list[Endpoint]] = {}
    for endpoint in endpoints:
        members.setdefault(endpoint.pool, []).append(endpoint)
    return {
        pool: Pool(
            pool,
            group[0].kind,
            group[0].region,
            tuple(group),
            queue_limits.get(_get_pool_name(group[0].kind)),
        )
        for pool, group in members.items()
    }


@singledispatch
def _get_pool_name(kind: EndpointKind) -> str:
    raise TypeError(f"no pool name for endpoint kind {type(kind).__name__}")


@_get_pool_name.register
def _(kind: ModelEngine) -> str:
    return kind.model


@_get_pool_name.register
def _(kind: PlainService) -> str:
    return kind.service

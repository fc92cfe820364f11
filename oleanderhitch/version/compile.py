"""Check documents and compile them into a Configuration."""

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
from oleanderhitch.version.parsing import ParsedDocument, parse_document
from oleanderhitch.version.references import check_inventories, check_rules
from oleanderhitch.version.rules import Rules
from oleanderhitch.version.states import DocumentKind

RegionsByDataCentre = dict[DataCentreName, RegionName]


def check_documents(documents: Sequence[Document]) -> tuple[Fault, ...]:
    """Return all faults of a set of documents."""
    return _check(documents, [parse_document(document) for document in documents])


def compile_configuration(
    version: ConfigurationVersion,
    documents: Sequence[Document],
    previous: Configuration | None = None,
) -> Configuration:
    """Return the compiled form; raise InvalidConfigurationError with all faults.

    Documents that are unchanged since the previous configuration are not parsed again,
    since most changes affect one document of many.
    """
    parsed = [_parse_or_reuse(document, previous) for document in documents]
    faults = _check(documents, parsed)
    if faults:
        raise InvalidConfigurationError(faults)
    return _build_configuration(version, parsed, previous)


def _parse_or_reuse(
    document: Document, previous: Configuration | None
) -> ParsedDocument:
    previously_parsed = (
        previous.documents.get(document.name) if previous is not None else None
    )
    if previously_parsed is not None and previously_parsed.content == document.content:
        return previously_parsed
    return parse_document(document)


def _check(
    documents: Sequence[Document], parsed: Sequence[ParsedDocument]
) -> tuple[Fault, ...]:
    faults = [*_check_names(documents)]
    faults.extend(fault for document in parsed for fault in document.faults)
    if any(document.declarations is None for document in parsed):
        # Names of an unparsable document are unknown, so that every reference to them
        # would be reported as undeclared.
        return tuple(faults)
    inventories = _select_inventories(parsed)
    faults.extend(check_inventories(inventories))
    faults.extend(check_rules(_select_rules(parsed), inventories))
    return tuple(faults)


def _check_names(documents: Sequence[Document]) -> Iterator[Fault]:
    names: set[DocumentName] = set()
    for document in documents:
        if document.name in names:
            yield make_fault(
                "documents.E005", document.name, document.name, "each name once"
            )
        names.add(document.name)
    kinds = {find_kind(name) for name in names}
    for kind in DocumentKind:
        if kind not in kinds:
            yield make_fault(
                "documents.E002", kind.value, "no document", f"a document {kind.value}"
            )


def _select_inventories(
    parsed: Iterable[ParsedDocument],
) -> list[tuple[DocumentName, Inventory]]:
    return [
        (document.name, document.declarations)
        for document in parsed
        if isinstance(document.declarations, Inventory)
    ]


def _select_rules(parsed: Iterable[ParsedDocument]) -> list[tuple[DocumentName, Rules]]:
    return [
        (document.name, document.declarations)
        for document in parsed
        if isinstance(document.declarations, Rules)
    ]


def _build_configuration(
    version: ConfigurationVersion,
    parsed: Sequence[ParsedDocument],
    previous: Configuration | None,
) -> Configuration:
    inventories = [declared for _, declared in _select_inventories(parsed)]
    rules = [rule_set for _, rule_set in _select_rules(parsed)]
    regions = {
        data_centre.name: data_centre.region
        for inventory in inventories
        for data_centre in inventory.data_centres
    }
    endpoints_by_document = {
        document.name: _find_unchanged_endpoints(document, regions, previous)
        or tuple(_make_endpoints(document.declarations, regions))
        for document in parsed
        if isinstance(document.declarations, Inventory)
    }
    endpoints = [
        endpoint
        for document_endpoints in endpoints_by_document.values()
        for endpoint in document_endpoints
    ]
    queue_limits = {
        queue.name: queue.queued_requests
        for rule_set in rules
        for queue in rule_set.queues
    }
    return Configuration(
        version=version,
        data_centres=regions,
        hosts=tuple(host for inventory in inventories for host in inventory.hosts),
        pools=_make_pools(endpoints, queue_limits),
        endpoints={endpoint.id: endpoint for endpoint in endpoints},
        defaults=next(
            rule_set.defaults for rule_set in rules if rule_set.defaults is not None
        ),
        accounts={
            account.name: account for rule_set in rules for account in rule_set.accounts
        },
        operations={
            (operation.service, operation.name): operation.is_idempotent
            for rule_set in rules
            for operation in rule_set.operations
        },
        documents={document.name: document for document in parsed},
        weight_bytes={
            model.name: model.weight_bytes
            for inventory in inventories
            for model in inventory.models
        },
        endpoints_by_document=endpoints_by_document,
    )


def _find_unchanged_endpoints(
    document: ParsedDocument,
    regions: RegionsByDataCentre,
    previous: Configuration | None,
) -> tuple[Endpoint, ...]:
    """Return the previous version's endpoints of a document, or () if changed.

    A data centre that moved to another region changes the pools of its endpoints.
    """
    if previous is None or previous.documents.get(document.name) is not document:
        return ()
    if previous.data_centres != regions:
        return ()
    return previous.endpoints_by_document.get(document.name, ())


def _make_endpoints(
    inventory: Inventory, regions: RegionsByDataCentre
) -> Iterator[Endpoint]:
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
    endpoints_by_pool: dict[PoolId, list[Endpoint]] = {}
    for endpoint in endpoints:
        endpoints_by_pool.setdefault(endpoint.pool, []).append(endpoint)
    return {
        pool: Pool(
            pool,
            members[0].kind,
            members[0].region,
            tuple(members),
            queue_limits.get(_get_model_or_service(members[0].kind)),
        )
        for pool, members in endpoints_by_pool.items()
    }


@singledispatch
def _get_model_or_service(kind: EndpointKind) -> str:
    raise TypeError(f"pools do not support endpoint kind {type(kind).__name__}")


@_get_model_or_service.register
def _(kind: ModelEngine) -> str:
    return kind.model


@_get_model_or_service.register
def _(kind: PlainService) -> str:
    return kind.service

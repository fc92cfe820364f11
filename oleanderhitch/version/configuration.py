"""Define the compiled form of a configuration, which is indexed by key."""

from collections.abc import Mapping
from datetime import timedelta

from oleanderhitch.program.ids import AccountId
from oleanderhitch.values import Value
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.exceptions import UndeclaredNameError
from oleanderhitch.version.ids import (
    ConfigurationVersion,
    DataCentreName,
    DocumentName,
    EndpointId,
    ModelName,
    OperationName,
    PoolId,
    RegionName,
    ServiceName,
)
from oleanderhitch.version.inventory import Host
from oleanderhitch.version.parsing import ParsedDocument
from oleanderhitch.version.rules import AccountDeclaration, DefaultRules, RequestLimits


class ModelEngine(Value, frozen=True):
    """Kind of an endpoint that generates tokens with a model."""

    model: ModelName


class PlainService(Value, frozen=True):
    """Kind of an endpoint that runs the operations of a service."""

    service: ServiceName


EndpointKind = ModelEngine | PlainService


class Endpoint(Value, frozen=True):
    """The declared properties of an endpoint; singledispatch selects by `kind`."""

    id: EndpointId
    kind: EndpointKind
    address: HostPort
    n_slots: int
    cache_tokens: int
    checks_fencing_tokens: bool
    answers_by_key: bool
    is_leaving: bool
    data_centre: DataCentreName
    region: RegionName
    pool: PoolId


class Pool(Value, frozen=True):
    """The endpoints of one model or service in one region."""

    id: PoolId
    kind: EndpointKind
    region: RegionName
    endpoints: tuple[Endpoint, ...]
    n_queued_limit: int | None


class AccountRules(Value, frozen=True):
    """The rules of one account, with defaults applied; None means no limit."""

    account: AccountId
    data_centres: frozenset[DataCentreName]
    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta
    n_requests_per_account: int | None
    n_requests_per_program: int | None
    n_requests_per_pool: int | None

    def may_run_in(self, data_centre: DataCentreName) -> bool:
        """Return whether the account's work may run in a data centre."""
        return data_centre in self.data_centres


class Configuration(Value, frozen=True):
    """One configuration version, indexed for the queries of the request path.

    `operations` maps each declared operation to whether it is idempotent. `documents`
    and `endpoints_by_document` let the next version reuse what has not changed.
    """

    version: ConfigurationVersion
    data_centres: Mapping[DataCentreName, RegionName]
    hosts: tuple[Host, ...]
    pools: Mapping[PoolId, Pool]
    endpoints: Mapping[EndpointId, Endpoint]
    defaults: DefaultRules
    accounts: Mapping[AccountId, AccountDeclaration]
    operations: Mapping[tuple[ServiceName, OperationName], bool]
    documents: Mapping[DocumentName, ParsedDocument]
    weight_bytes: Mapping[ModelName, int]
    endpoints_by_document: Mapping[DocumentName, tuple[Endpoint, ...]]

    def get_pool(self, model_or_service: str, data_centre: DataCentreName) -> Pool:
        """Return the pool of a model or service in the region of a data centre.

        Raise UndeclaredNameError if the region has none.
        """
        region = self.data_centres.get(data_centre)
        pool = self.find_pool(make_pool_id(model_or_service, region or ""))
        if pool is None:
            raise UndeclaredNameError(
                f"version {self.version} declares no endpoint of {model_or_service!r} "
                f"in the region of data centre {data_centre!r}"
            )
        return pool

    def get_weight_bytes(self, model: ModelName) -> int:
        """Return the size of a model's weights in bytes, 0 if it is not declared."""
        return self.weight_bytes.get(model, 0)

    def find_pool(self, pool: PoolId) -> Pool | None:
        """Return a pool by its id, or None if it is not declared."""
        return self.pools.get(pool)

    def list_pools(self, model_or_service: str) -> tuple[Pool, ...]:
        """Return the pools of a model or service in all regions."""
        pools = (
            self.find_pool(make_pool_id(model_or_service, region))
            for region in sorted(set(self.data_centres.values()))
        )
        return tuple(pool for pool in pools if pool is not None)

    def get_endpoint(self, endpoint: EndpointId) -> Endpoint:
        """Return an endpoint by its id; raise UndeclaredNameError if unknown."""
        declared = self.endpoints.get(endpoint)
        if declared is None:
            raise UndeclaredNameError(
                f"version {self.version} declares no endpoint {endpoint!r}"
            )
        return declared

    def get_account_rules(self, account: AccountId) -> AccountRules:
        """Return the rules of an account, with defaults for what it leaves out.

        Raise UndeclaredNameError if the account is not listed and has to be.
        """
        declared = self.accounts.get(account)
        if declared is None and not self.defaults.admits_unlisted_accounts:
            raise UndeclaredNameError(
                f"version {self.version} declares no account {account!r} and does not "
                "admit unlisted accounts"
            )
        return self._merge_with_defaults(declared or AccountDeclaration(account))

    def is_idempotent(self, service: ServiceName, operation: OperationName) -> bool:
        """Return whether an operation may run more than once.

        Undeclared operations count as not idempotent, so they are never retried.
        """
        return self.operations.get((service, operation), False)

    def _merge_with_defaults(self, declared: AccountDeclaration) -> AccountRules:
        defaults = self.defaults
        limits = _merge_limits(declared.limits, defaults.limits)
        return AccountRules(
            declared.name,
            self._find_data_centres(declared.places or defaults.places),
            declared.budget_tokens or defaults.budget_tokens,
            declared.turn_limit or defaults.turn_limit,
            timedelta(seconds=declared.silence_limit_s or defaults.silence_limit_s),
            limits.requests_per_account,
            limits.requests_per_program,
            limits.requests_per_pool,
        )

    def _find_data_centres(self, places: tuple[str, ...]) -> frozenset[DataCentreName]:
        return frozenset(
            data_centre
            for data_centre, region in self.data_centres.items()
            if data_centre in places or region in places
        )


def make_pool_id(model_or_service: str, region: str) -> PoolId:
    """Return the id of the pool of a model or service in a region."""
    return PoolId(f"{model_or_service}@{region}")


def _merge_limits(declared: RequestLimits, defaults: RequestLimits) -> RequestLimits:
    return RequestLimits(
        declared.requests_per_account or defaults.requests_per_account,
        declared.requests_per_program or defaults.requests_per_program,
        declared.requests_per_pool or defaults.requests_per_pool,
    )

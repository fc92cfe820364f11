"""Compute an entry host's share of the limits that a configuration declares."""

from oleanderhitch.request.admission import AdmissionRules, Limit, divide_limit
from oleanderhitch.version.configuration import Configuration, Pool


def make_admission_rules(
    configuration: Configuration, n_entry_hosts: int
) -> AdmissionRules:
    """Return the limits for one of `n_entry_hosts` entry hosts.

    The calls of one program run one after another, so its limit is not divided.
    """
    defaults = configuration.defaults.limits
    return AdmissionRules(
        default_account=divide_limit(
            Limit(defaults.requests_per_account), n_entry_hosts
        ),
        default_program=Limit(defaults.requests_per_program),
        accounts={
            name: divide_limit(
                Limit(configuration.get_account_rules(name).n_requests_per_account),
                n_entry_hosts,
            )
            for name in configuration.accounts
        },
        pools={
            pool.id: divide_limit(_make_pool_limit(pool), n_entry_hosts)
            for pool in configuration.pools.values()
        },
    )


def _make_pool_limit(pool: Pool) -> Limit:
    """Return a limit that covers both running and queued requests."""
    if pool.n_queued_limit is None:
        return Limit()
    n_slots = sum(endpoint.n_slots for endpoint in pool.endpoints)
    return Limit(pool.n_queued_limit + n_slots)

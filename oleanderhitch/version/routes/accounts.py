"""Define client accounts and find the account that a key belongs to."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from oleanderhitch.program.ids import AccountId
from oleanderhitch.values import Value
from oleanderhitch.version.routes.ids import KeyDigest

# Long enough that no two keys have the same digest.
DIGEST_BYTES = 16


class Account(Value, frozen=True):
    """A client account with the digests of its keys.

    `rank` goes before the rank of a route; None leaves the route's. `requests_per_s`
    and `n_burst` limit its requests on all hosts together; None is no limit.
    """

    account: AccountId
    keys: tuple[KeyDigest, ...]
    rank: int | None = None
    requests_per_s: float | None = None
    n_burst: float = 0


def make_key_digest(key: str) -> KeyDigest:
    """Return the digest of a key; the key itself is not kept anywhere."""
    encoded = key.encode("utf-8", "surrogatepass")
    return KeyDigest(blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest())


def index_accounts(accounts: Iterable[Account]) -> Mapping[KeyDigest, Account]:
    """Return the accounts by the digests of their keys."""
    return {key: account for account in accounts for key in account.keys}

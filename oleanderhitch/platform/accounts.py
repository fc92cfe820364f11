"""Parser of the client accounts in a routing configuration.

Error texts name an entry by its position and never quote it, since it has keys.
"""

import math
from typing import Any

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.ids import AccountId
from oleanderhitch.version.routes.accounts import Account, make_key_digest

# Account names are sent to endpoints in a header, and keys come in one.
NAME_LIMIT_CHARACTERS = 256
KEY_LIMIT_CHARACTERS = 1024
N_KEYS_LIMIT = 1000
# Any order of two priorities can be expressed within these bounds.
PRIORITY_MIN = 0
PRIORITY_MAX = 1_000_000


def parse_accounts(tenants: Any) -> tuple[Account, ...] | None:
    """Return the accounts, None if there are none; raise InvalidInputError."""
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        raise InvalidInputError("tenants is no list")
    accounts = tuple(
        _parse_account(entry, f"tenants[{index}]")
        for index, entry in enumerate(tenants)
    )
    _check_unique(accounts)
    return accounts


def _parse_account(entry: Any, place: str) -> Account:
    if not isinstance(entry, dict):
        raise InvalidInputError(f"{place} is no object")
    name: Any = entry.get("name")
    if not _is_header_text(name, NAME_LIMIT_CHARACTERS):
        raise InvalidInputError(
            f"{place}.name is no printable text of 1 to {NAME_LIMIT_CHARACTERS} "
            f"characters"
        )
    keys = entry.get("api_keys", [])
    if not isinstance(keys, list) or len(keys) > N_KEYS_LIMIT:
        raise InvalidInputError(
            f"{place}.api_keys is no list of at most {N_KEYS_LIMIT} keys"
        )
    for index, key in enumerate(keys):
        if not _is_header_text(key, KEY_LIMIT_CHARACTERS):
            raise InvalidInputError(
                f"{place}.api_keys[{index}] is no printable text of 1 to "
                f"{KEY_LIMIT_CHARACTERS} characters"
            )
    return Account(
        AccountId(name),
        tuple(dict.fromkeys(make_key_digest(key) for key in keys)),
        _parse_priority(entry.get("priority"), place),
        # 0 is no limit on the wire.
        _parse_number(entry.get("rate_per_s"), f"{place}.rate_per_s") or None,
        _parse_number(entry.get("burst"), f"{place}.burst"),
    )


def _is_header_text(text: Any, n_characters_max: int) -> bool:
    """Return whether a text can be the value of a header."""
    return (
        isinstance(text, str)
        and 0 < len(text) <= n_characters_max
        and text.isascii()
        and text.isprintable()
        and text == text.strip()
    )


def _parse_priority(priority: Any, place: str) -> int | None:
    if priority is None:
        return None
    is_number = isinstance(priority, int) and not isinstance(priority, bool)
    if not is_number or not PRIORITY_MIN <= priority <= PRIORITY_MAX:
        raise InvalidInputError(
            f"{place}.priority is no whole number from {PRIORITY_MIN} to {PRIORITY_MAX}"
        )
    return int(priority)


def _parse_number(value: Any, place: str) -> float:
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        number = float(value) if is_number else math.nan
    except OverflowError:
        number = math.nan
    if not math.isfinite(number) or number < 0:
        raise InvalidInputError(f"{place} is no number of 0 or more")
    return number


def _check_unique(accounts: tuple[Account, ...]) -> None:
    """Check that each name and each key belongs to one account."""
    names: set[AccountId] = set()
    owners: dict[str, int] = {}
    for index, account in enumerate(accounts):
        if account.account in names:
            raise InvalidInputError(f"tenants[{index}] has the name of another one")
        names.add(account.account)
        for key in account.keys:
            if key in owners:
                raise InvalidInputError(
                    f"tenants[{owners[key]}] and tenants[{index}] share a key"
                )
            owners[key] = index

"""The lease of an entry host on its routing, and when it renews it.

Answers hosts that are cut off, frozen or restarted while a key is removed: a host that
has no recent proof that its routing is the newest serves no request with a key.
"""

from datetime import datetime, timedelta
from enum import Enum

from msgspec import Struct, field

from oleanderhitch.process.site.messages import HelloNumber
from oleanderhitch.values import Value
from oleanderhitch.version.routes.ids import RoutingVersion

# The rest is for what a request needs from the check to the endpoint, and for clocks
# that run at different rates.
LEASE_SHARE = 0.8
# A key may have been added since the lease began, and hosts have to know it after half
# of `revoke_ms` (2.5 of 5 s). A younger lease proves that a key is unknown.
FRESH_SHARE = 0.3
# A host without a lease sends four hellos a second, and a lease lasts some seconds.
N_SENT_HELLOS_LIMIT = 64


class LeaseState(Enum):
    """What a host knows of the routing that it has installed.

    FRESH: it was the newest a moment ago. VALID: keys that were removed before the
    lease began are gone, but keys may have been added. LAPSED: it may be outdated.
    """

    FRESH = "fresh"
    VALID = "valid"
    LAPSED = "lapsed"


class LeaseTerms(Value, frozen=True):
    """How long a lease lasts, and how long it is fresh."""

    duration: timedelta
    fresh_duration: timedelta


class Lease(Value, frozen=True):
    """Proof that no routing newer than `version` was accepted before `began_at`."""

    began_at: datetime
    version: RoutingVersion


def make_lease_terms(revocation_limit: timedelta) -> LeaseTerms:
    """Return the terms by which no removed key is of use after the limit."""
    return LeaseTerms(revocation_limit * LEASE_SHARE, revocation_limit * FRESH_SHARE)


def judge_lease(
    lease: Lease | None, installed: RoutingVersion, terms: LeaseTerms, now: datetime
) -> LeaseState:
    """Return what a lease says of the installed routing."""
    # A routing that the lease is for may have failed to be installed.
    if lease is None or installed < lease.version:
        return LeaseState.LAPSED
    age = now - lease.began_at
    if age >= terms.duration:
        return LeaseState.LAPSED
    return LeaseState.FRESH if age < terms.fresh_duration else LeaseState.VALID


class LeaseRenewal(Struct):
    """The hellos that may renew the lease, and the lease; owned by the subscription."""

    terms: LeaseTerms
    next_number: HelloNumber
    sent_hellos: dict[HelloNumber, datetime] = field(default_factory=dict)
    lease: Lease | None = None
    # Whether the loss of the lease has been reported, or that there was none.
    is_lost: bool = True

    def has_lease(self, now: datetime) -> bool:
        """Return whether the lease has not ended."""
        return self.lease is not None and (
            now - self.lease.began_at < self.terms.duration
        )

    def number_hello(self, is_regular: bool, now: datetime) -> HelloNumber | None:
        """Return the number of a hello that is sent now, None if it needs none.

        Each number costs a further status. Those of the regular hellos keep the lease
        fresh, while loads change up to four times a second.
        """
        if not is_regular and self.has_lease(now):
            return None
        number = self.next_number
        self.next_number = HelloNumber(number + 1)
        for sent, sent_at in list(self.sent_hellos.items()):
            if now - sent_at >= self.terms.duration:
                del self.sent_hellos[sent]
        if len(self.sent_hellos) >= N_SENT_HELLOS_LIMIT:
            del self.sent_hellos[min(self.sent_hellos)]
        self.sent_hellos[number] = now
        return number

    def renew(self, number: HelloNumber, version: RoutingVersion) -> Lease | None:
        """Return the lease that a confirmed hello gives, None if it gives no newer."""
        sent_at = self.sent_hellos.get(number)
        if sent_at is None:
            return None
        # Earlier hellos give no newer lease.
        self.sent_hellos = {
            sent: at for sent, at in self.sent_hellos.items() if sent > number
        }
        self.lease = Lease(sent_at, version)
        return self.lease

"""Let an entry choose by itself while its pool has no owner in reach."""

from dataclasses import replace

from oleanderhitch.process.scheduling.messages import EndpointsChanged


def reduce_offers(offers: EndpointsChanged, n_nodes: int) -> EndpointsChanged:
    """Return the offers with the slots that one of several nodes may use.

    An entry tells its own queue of the attempts that it runs, with HoldSlot, so
    that all entries together stay within the slots of an endpoint once the
    attempts of the lost owner have ended.
    """
    return EndpointsChanged(
        tuple(
            replace(offer, n_slots=max(1, offer.n_slots // n_nodes))
            for offer in offers.offers
        )
    )

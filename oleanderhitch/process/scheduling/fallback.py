"""Let an entry choose by itself while its pool has no owner in reach."""

from dataclasses import replace

from oleanderhitch.process.scheduling.messages import EndpointsChanged

# Attempts that the lost owner had granted still hold slots that an entry does
# not know of, so that the entries together use this part of them only.
LOCAL_SHARE = 0.5


def reduce_offers(offers: EndpointsChanged, n_nodes: int) -> EndpointsChanged:
    """Return the offers with the slots that one of several nodes may use."""
    return EndpointsChanged(
        tuple(
            replace(offer, n_slots=max(1, int(offer.n_slots * LOCAL_SHARE / n_nodes)))
            for offer in offers.offers
        )
    )

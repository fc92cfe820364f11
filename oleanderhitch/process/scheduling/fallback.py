"""Limit the slots that an entry host uses while it can't reach the pool's owner."""

from msgspec.structs import replace

from oleanderhitch.process.scheduling.messages import EndpointsChanged


def reduce_offers(offers: EndpointsChanged, n_nodes: int) -> EndpointsChanged:
    """Return the offers with the share of slots that one of `n_nodes` nodes may use.

    The share is at least one slot, so that each node can use every endpoint.

    Each entry host then queues its own requests. It registers its running attempts in
    that queue with HoldSlot, so that all entry hosts together stay within the slots of
    an endpoint once the attempts granted by the lost owner have ended, provided that
    the endpoint has at least one slot per node.
    """
    return EndpointsChanged(
        tuple(
            replace(offer, n_slots=max(1, offer.n_slots // n_nodes))
            for offer in offers.offers
        )
    )

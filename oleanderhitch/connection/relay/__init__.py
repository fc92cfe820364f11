"""Tunnels to endpoints through an entry host that reaches them."""

"""Grant leases to nodes, push versions to them and assign owners to pools."""

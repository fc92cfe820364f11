"""Command-line programs of entry hosts, disk hosts and operators."""

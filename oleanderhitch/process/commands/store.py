"""Start a disk host."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run a store until SIGTERM."""
    prepare_gevent()
    # gevent must patch the standard library before modules open sockets.
    from oleanderhitch.process.commands.store_command import run

    sys.exit(run())


if __name__ == "__main__":
    main()

"""Start an entry host."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run an entry host until SIGTERM."""
    prepare_gevent()
    # gevent must patch the standard library before modules open sockets.
    from oleanderhitch.process.commands.entry_command import run

    sys.exit(run())


if __name__ == "__main__":
    main()

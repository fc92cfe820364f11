"""Start a disk host."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run a disk host until SIGTERM or SIGINT."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent's monkey patching.
    from oleanderhitch.process.commands.store_command import run

    sys.exit(run())


if __name__ == "__main__":
    main()

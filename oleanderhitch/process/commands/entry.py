"""Start an entry host."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent's monkey patching.
    from oleanderhitch.process.commands.entry_command import run

    sys.exit(run())


if __name__ == "__main__":
    main()

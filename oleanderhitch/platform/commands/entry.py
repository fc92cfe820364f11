"""Command that starts an entry host on the platform."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run an entry host until SIGTERM."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent has patched the standard
    # library.
    from oleanderhitch.platform.commands.run_entry import run_entry

    sys.exit(run_entry())


if __name__ == "__main__":
    main()

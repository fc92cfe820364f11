"""Command that starts a store on the platform."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run a store until SIGTERM."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent has patched the standard
    # library.
    from oleanderhitch.platform.commands.run_store import run_store

    sys.exit(run_store())


if __name__ == "__main__":
    main()

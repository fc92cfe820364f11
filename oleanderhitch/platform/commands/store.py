"""Command that starts a store on the platform."""

import sys

from oleanderhitch.process.runtime import select_event_loop


def main() -> None:
    """Run a store until SIGTERM."""
    # Patching the standard library reads the metadata of all packages 25 times, and
    # nothing here blocks: sockets and waits are gevent's own.
    select_event_loop()
    # An imported module may create the event loop.
    from oleanderhitch.platform.commands.run_store import run_store

    sys.exit(run_store())


if __name__ == "__main__":
    main()

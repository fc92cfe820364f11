"""Command that starts an entry host on the platform."""

import sys

from oleanderhitch.process.runtime import select_event_loop


def main() -> None:
    """Run an entry host until SIGTERM."""
    # Patching the standard library reads the metadata of all packages 25 times, and
    # nothing here blocks: sockets and waits are gevent's own.
    select_event_loop()
    # An imported module may create the event loop.
    from oleanderhitch.platform.commands.run_entry import run_entry

    sys.exit(run_entry())


if __name__ == "__main__":
    main()

"""Start an entry on the platform."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run an entry until SIGTERM."""
    prepare_gevent()
    # Modules that open sockets are imported after the patch only.
    from oleanderhitch.platform.commands.run_entry import run_entry

    sys.exit(run_entry())


if __name__ == "__main__":
    main()

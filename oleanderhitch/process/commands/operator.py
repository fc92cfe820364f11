"""Start the operators' command line."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run one command."""
    prepare_gevent()
    # Modules that open sockets are imported after the patch only.
    from oleanderhitch.process.commands.operator_application import run

    sys.exit(run())


if __name__ == "__main__":
    main()

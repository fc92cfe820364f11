"""Start the operators' command line."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run the command given by the arguments and exit with its code."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent's monkey patching.
    from oleanderhitch.process.commands.operator_application import run

    sys.exit(run())


if __name__ == "__main__":
    main()

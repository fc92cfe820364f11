"""Start the engine stand-in."""

import sys

from oleanderhitch.process.runtime import prepare_gevent


def main() -> None:
    """Run the engine stand-in until SIGTERM."""
    prepare_gevent()
    # Modules that use sockets must be imported after gevent's monkey patching.
    from standins.process.engine.command import run

    sys.exit(run())


if __name__ == "__main__":
    main()

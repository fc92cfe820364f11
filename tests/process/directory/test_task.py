"""Guard against a list of endpoints that is not followed any more."""

from datetime import timedelta

import gevent

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.directory.core import SetReaderTerm
from oleanderhitch.process.directory.messages import EndpointList, ListedEndpoint
from oleanderhitch.process.directory.task import make_directory_task
from oleanderhitch.process.mailbox import make_mailbox

TIMEOUT = timedelta(seconds=5)


def test_reads_go_on_after_an_unexpected_error() -> None:
    """Guard against a reader that waits for ever for a read that has failed."""
    n_reads = 0
    received = make_mailbox("lists")

    def fetch() -> tuple[ListedEndpoint, ...]:
        nonlocal n_reads
        n_reads += 1
        if n_reads == 1:
            raise RecursionError("nested too deeply")
        return ()

    task = make_directory_task(fetch, received.send, make_system_clock())
    task.start()
    task.send(SetReaderTerm(1))
    assert isinstance(received.receive(TIMEOUT), EndpointList)
    task.stop()
    task.join(TIMEOUT)
    gevent.sleep(0)

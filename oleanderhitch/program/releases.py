"""Track which engines hold memory for a program until they release it."""

from oleanderhitch.program.entries import ProgramEntry, ShardState
from oleanderhitch.program.messages import Release, Releases
from oleanderhitch.version.ids import EndpointId

# A listing must fit in one frame; the rest follows once these are confirmed.
N_RELEASES_LIMIT = 1000


def add_holder(entry: ProgramEntry, endpoint: EndpointId) -> None:
    """Record that an engine may hold memory for a program."""
    entry.released.pop(endpoint, None)
    entry.n_holds += 1
    entry.holders[endpoint] = entry.n_holds


def reopen_releases(entry: ProgramEntry) -> None:
    """List all engines of an ended program again.

    A command of a run that was closed shows that an engine may have worked for
    the program after it confirmed its release.
    """
    if entry.end_reason is not None:
        for endpoint in tuple(entry.released):
            add_holder(entry, endpoint)


def confirm_release(
    entry: ProgramEntry, endpoint: EndpointId, number: int | None
) -> None:
    """Record a release unless the engine held memory again since."""
    if endpoint in entry.holders and number in (None, entry.holders[endpoint]):
        del entry.holders[endpoint]
        entry.released[endpoint] = None


def list_releases(state: ShardState) -> Releases:
    """Return the releases to send.

    A program with an open request is left out: the engine would take memory
    again when that request runs on.
    """
    releases: list[Release] = []
    for entry in state.programs.values():
        if entry.end_reason is None or entry.open_request is not None:
            continue
        for endpoint, number in entry.holders.items():
            releases.append(Release(entry.program, endpoint, number))
            if len(releases) >= N_RELEASES_LIMIT:
                return Releases(tuple(releases))
    return Releases(tuple(releases))

"""Track which engines may cache a program's prompt until they release it."""

from oleanderhitch.program.entries import ProgramEntry, ShardState
from oleanderhitch.program.messages import Release, Releases
from oleanderhitch.version.ids import EndpointId

# A list must fit in one frame; further releases are listed once these are confirmed.
N_RELEASES_LIMIT = 1000


def add_holder(entry: ProgramEntry, endpoint: EndpointId) -> None:
    """Record that an engine may cache the prompt of a program."""
    entry.released.pop(endpoint, None)
    entry.n_holds += 1
    entry.holders[endpoint] = entry.n_holds


def reopen_releases(entry: ProgramEntry) -> None:
    """List all engines of an ended program for release again.

    Called for a command of a closed run, which shows that an engine may have served the
    program after it confirmed its release.
    """
    if entry.end_reason is not None:
        for endpoint in tuple(entry.released):
            add_holder(entry, endpoint)


def confirm_release(
    entry: ProgramEntry, endpoint: EndpointId, number: int | None
) -> None:
    """Record a release unless the engine was added again after it was listed."""
    if endpoint in entry.holders and number in (None, entry.holders[endpoint]):
        del entry.holders[endpoint]
        entry.released[endpoint] = None


def list_releases(state: ShardState) -> Releases:
    """Return the releases to send, up to a limit.

    A program with an open request is left out, since the engine would cache its prompt
    again while that request runs.
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

"""Raise the retention of a route between two turns of a chain, then continue it."""

import asyncio

from bed import (
    BROKEN,
    HELD,
    HOST,
    Answer,
    Bed,
    CaseError,
    call,
    is_troubled,
    main,
    make_configuration,
    make_engine_service,
    make_id,
    make_stream_route,
    run_stream,
)

SHORT_S, LONG_S = 5.0, 60.0
# The pause of the program before its third turn, within the longer retention.
PAUSE_S = 46.0
WATCH_S = 12.0
N_ENDS = 3


async def send_turn(
    bed: Bed, number: int, program: str, previous: str | None
) -> tuple[str, Answer]:
    """Send a turn to an entry host; return its id and its answer."""
    entry = bed.entries[number % len(bed.entries)]
    request = make_id()
    headers = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": "4000",
        "X-Model": "m",
        "X-Token-Usage": "40,80",
        "X-Prompt-Prefix": f"{request}:40",
        "X-Program-Id": program,
        "X-Session-Id": program,
        "X-Finish-Ms": "60000",
        "X-Token-Budget": "4000",
    }
    if previous is not None:
        headers["X-Previous-Turn"] = previous
    body = f"input of {request}\n".encode()
    answer = await call(entry.front, "POST", "/chat/1", headers, body, 5.0)
    bed.note(
        f"turn {request} of {program} continues {previous}, to {entry.name}: "
        f"status {answer.status}, whole {answer.whole}"
    )
    return request, answer


def add_runners(bed: Bed) -> None:
    """Add the model runners."""
    for _ in range(2):
        bed.add_runner("llm", 48, run_stream)


async def run(bed: Bed) -> int:
    """Play the case."""
    service = make_engine_service("llm", 48)

    def configure(version: int, name: str, retain_s: float) -> dict[str, object]:
        route = make_stream_route(name, "/chat/", "llm", retain_s)
        return make_configuration(version, [route], [service])

    first_s = SHORT_S if is_troubled() else LONG_S
    if not await bed.publish(configure(1, "r-old", first_s), 15):
        raise CaseError("no configuration acknowledged")
    await bed.await_ready(15)
    await asyncio.sleep(4)
    first, answer = await send_turn(bed, 0, "program-1", None)
    if not answer.whole or answer.status != 200:
        raise CaseError("the first turn was not answered whole")
    if not await bed.publish(configure(2, "r-new", LONG_S), 5):
        raise CaseError("the second configuration was not acknowledged")
    await asyncio.sleep(2.5)
    second, answer = await send_turn(bed, 1, "program-1", first)
    if not answer.whole or answer.status != 200:
        raise CaseError("the second turn was not answered whole")
    bed.note(f"the program pauses for {PAUSE_S} s; its turns are kept for {LONG_S} s")
    await asyncio.sleep(PAUSE_S)
    before = [store.n_own_ends for store in bed.stores]
    for number in range(5):
        await send_turn(bed, number, "program-1", second)
        await asyncio.sleep(0.3)
    await asyncio.sleep(WATCH_S)
    for number in range(4):
        await send_turn(bed, number, f"program-{number + 2}", None)
    versions = [await bed.read_version(store) for store in bed.stores]
    bed.note(f"versions that the stores answer a read with (0: none): {versions}")
    ends = [store.n_own_ends - n for store, n in zip(bed.stores, before, strict=True)]
    bed.note(f"ends of processes of the stores by themselves: {ends}")
    for store in bed.stores:
        for line in store.find_log("can't be applied"):
            bed.note(f"log of {store.name}: {line[:300]}")
    n_ending = sum(n >= N_ENDS for n in ends)
    return BROKEN if n_ending >= 2 else HELD


if __name__ == "__main__":
    main(run, add_runners)

"""Let the entry of a limited runner be unreadable in the list for a second."""

import asyncio

from bed import (
    BROKEN,
    HELD,
    HOST,
    Bed,
    CaseError,
    Request,
    Runner,
    call,
    is_troubled,
    main,
    make_call_route,
    make_configuration,
    make_id,
    make_plain_service,
    render_answer,
)

LIMIT_PER_S = 2.0
WORK_S = 0.5
REQUESTS_PER_S = 24.0
STABLE_WINDOW_S = 3.0
FOREIGN_AT_S, FOREIGN_FOR_S = 14.0, 2.0
END_AT_S = 30.0
WINDOW_S = 4.0
MOST = 1.5 * LIMIT_PER_S * WINDOW_S + 5


async def run_in_need(
    runner: Runner, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer as a runner in need does, with the limit in each answer."""
    await asyncio.sleep(WORK_S)
    headers = {**runner.sign(request), "Server-Limit": f"{LIMIT_PER_S:.1f}"}
    writer.write(render_answer(200, b"done", headers))


def add_runners(bed: Bed) -> None:
    """Add the runners, which are all in need."""
    for _ in range(3):
        bed.add_runner("app", 24, run_in_need)


async def send(bed: Bed, number: int, counts: dict[int, int]) -> None:
    """Send a request that may run more than once."""
    entry = bed.entries[number % len(bed.entries)]
    headers = {"Host": HOST, "X-Request-Id": make_id(), "X-Deadline-Ms": "4000"}
    answer = await call(entry.front, "GET", "/status/1", headers, b"", 5.0)
    counts[answer.status] = counts.get(answer.status, 0) + 1


async def load(bed: Bed, counts: dict[int, int]) -> None:
    """Send requests at a steady rate."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.ensure_future(send(bed, number, counts))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def run(bed: Bed) -> int:
    """Play the case."""
    route = make_call_route("r-status", "/status/", "app", "safe", 4000)
    services = [make_plain_service("app")]
    if not await bed.publish(make_configuration(1, [route], services), 15):
        raise CaseError("no configuration acknowledged")
    await bed.await_ready(15)
    await asyncio.sleep(4)
    counts: dict[int, int] = {}
    began = bed.now()
    sender = asyncio.ensure_future(load(bed, counts))
    await asyncio.sleep(FOREIGN_AT_S)
    needy = bed.runners[0]
    if is_troubled():
        bed.platform.foreign.add(needy)
        bed.note(f"the entry of {needy.id} has a state that is not named")
        await asyncio.sleep(FOREIGN_FOR_S)
        bed.platform.foreign.discard(needy)
        bed.note(f"the entry of {needy.id} is as before")
    await asyncio.sleep(began + END_AT_S - bed.now())
    sender.cancel()
    return judge(bed, needy, counts)


def judge(bed: Bed, needy: Runner, counts: dict[int, int]) -> int:
    """Count what the limited runner got in each span of the rule's length."""
    arrivals = [request.at for request in needy.arrivals]
    bed.note(f"answers by status: {counts}")
    bed.note(f"the limited runner got requests at {[round(a, 2) for a in arrivals]}")
    if not arrivals:
        raise CaseError("the limited runner got no requests")
    begin = arrivals[0] + WORK_S + STABLE_WINDOW_S
    counted = [at for at in arrivals if at >= begin]
    most = max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )
    bed.note(f"most requests in {WINDOW_S} s from {begin:.2f} on: {most}; bound {MOST}")
    return BROKEN if most > MOST else HELD


if __name__ == "__main__":
    main(run, add_runners)

"""Kill an entry host in the middle of turns; the callers resume and go on."""

import asyncio
import signal

from bed import (
    BROKEN,
    HELD,
    HOST,
    Answer,
    Bed,
    CaseError,
    Machine,
    Request,
    Runner,
    call,
    is_troubled,
    main,
    make_configuration,
    make_engine_service,
    make_id,
    make_stream_route,
    render_chunk,
    render_head,
)

N_PROGRAMS = 8
N_EVENTS = 15
EVENT_S = 0.06
KILL_AFTER_S = 0.45


def make_event(number: int) -> bytes:
    """Return the data of an event; each run of a turn generates the same."""
    return b"word-%d" % number


async def run_turn(
    runner: Runner, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Generate from the event on that the request asks for."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    for number in range(first, N_EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        if number == first:
            writer.write(render_head(200, {**runner.sign(request), **kind}))
        event = b"id: %d\ndata: %b\n\n" % (number, make_event(number))
        writer.write(render_chunk(event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


def add_runners(bed: Bed) -> None:
    """Add the model runners."""
    for _ in range(2):
        bed.add_runner("llm", 48, run_turn)


def list_data(body: bytes) -> list[bytes]:
    """Return the data of the whole events of a stream."""
    events = body.split(b"\n\n")[:-1]
    return [event.partition(b"data: ")[2] for event in events]


async def send_turn(
    entry: Machine, program: str, body: bytes, more: dict[str, str]
) -> tuple[str, Answer]:
    """Send a turn, or a part of one; return its id and its answer."""
    request = make_id()
    headers = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": "4000",
        "X-Model": "m",
        "X-Token-Usage": "40,240",
        "X-Prompt-Prefix": f"{request}:40",
        "X-Program-Id": program,
        "X-Session-Id": program,
        "X-Finish-Ms": "60000",
        "X-Token-Budget": "4000",
        **more,
    }
    return request, await call(entry.front, "POST", "/chat/1", headers, body, 5.0)


async def run_program(bed: Bed) -> bool:
    """Run a program of two turns; return whether the second had the right body."""
    program = make_id()
    body = f"input of {program}\n".encode()
    turn, answer = await send_turn(bed.entries[0], program, body, {})
    got = list_data(answer.body)
    bed.note(
        f"{program}: turn {turn} to front-1: status {answer.status}, "
        f"whole {answer.whole}, events 1 to {len(got)}"
    )
    if not answer.whole:
        # The connection is broken, so the caller resumes at another entry host.
        more = {"Last-Event-Id": str(len(got))}
        turn, answer = await send_turn(bed.entries[1], program, body, more)
        rest = list_data(answer.body)
        bed.note(
            f"{program}: resumed after event {len(got)} as {turn} at front-2: "
            f"status {answer.status}, whole {answer.whole}, {len(rest)} events more"
        )
        got += rest
    if not answer.whole or got != [make_event(n + 1) for n in range(N_EVENTS)]:
        raise CaseError("the first turn did not come whole")
    new = f"and then {program}\n".encode()
    second, answer = await send_turn(
        bed.entries[1], program, new, {"X-Previous-Turn": turn}
    )
    due = body + b"".join(event + b"\n" for event in got) + new
    bodies = [
        request.body
        for runner in bed.runners
        for request in runner.arrivals
        if request.headers["x-request-id"] == second
    ]
    bed.note(f"{program}: turn {second} continues {turn}: status {answer.status}")
    for ran in bodies:
        if ran != due:
            bed.note(f"{program}: the runner ran {ran!r}, due was {due!r}")
    if not bodies:
        raise CaseError("the second turn reached no runner")
    return all(ran == due for ran in bodies)


async def run(bed: Bed) -> int:
    """Play the case."""
    route = make_stream_route("r-chat", "/chat/", "llm", 60.0)
    route["resumable"] = True
    service = make_engine_service("llm", 48)
    if not await bed.publish(make_configuration(1, [route], [service]), 15):
        raise CaseError("no configuration acknowledged")
    await bed.await_ready(15)
    await asyncio.sleep(4)
    programs = [asyncio.ensure_future(run_program(bed)) for _ in range(N_PROGRAMS)]
    await asyncio.sleep(KILL_AFTER_S)
    if is_troubled():
        bed.entries[0].send_signal(signal.SIGKILL)
        bed.note("front-1 is killed")
    right = await asyncio.gather(*programs)
    bed.note(f"second turns run with the right body: {right.count(True)} of {right}")
    return HELD if all(right) else BROKEN


if __name__ == "__main__":
    main(run, add_runners)

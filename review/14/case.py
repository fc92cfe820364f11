"""An entry host dies while it passes answers without a length on for another one."""

import threading
import time
from pathlib import Path

from bed3 import (
    CaseError,
    Client,
    make_events,
    make_route,
    make_services,
    make_stream_answer,
    run_case,
)

N_EVENTS = 20
GAP_S = 0.12
PLAIN_PARTS = 10
PART = b"0123456789abcdef" * 5
CUT_S = 1.2


def answer_plain_in_parts(runner, connection, headers, body):
    """Answer with a body that ends with its connection and takes a second."""
    framing = "Content-Type: text/plain\r\nConnection: close\r\n"
    connection.socket.sendall(runner.make_head(headers, framing))
    for _ in range(PLAIN_PARTS):
        time.sleep(0.1)
        connection.socket.sendall(PART)
    return False


def answer(runner, connection, headers, body):
    """Answer a stream or a plain request, as its id says."""
    if headers["x-request-id"].startswith("chat"):
        stream = make_stream_answer(N_EVENTS, GAP_S, is_framed=False)
        return stream(runner, connection, headers, body)
    return answer_plain_in_parts(runner, connection, headers, body)


def play(bed):
    """Cut one entry host off, let another one pass bytes on for it, and kill that."""
    for zone in ("split-a", "zadar-b", "rijeka-c"):
        bed.start(bed.add_store(zone), is_first=True)
    isolated, relay = bed.add_entry("split-a"), bed.add_entry("split-a")
    for name in (isolated, relay):
        bed.start(name, is_first=True)
    for _ in range(3):
        bed.add_runner("app", answer, slots=6)
    routes = [
        make_route("r-chat", "/chat/", "stream", "app", itl_target_ms=400),
        make_route("r-ping", "/ping/", "safe", "app", attempts=2),
    ]
    bed.publish(routes, make_services())
    bed.wait_ready([isolated, relay])
    # The hosts must have told the stores of each other.
    time.sleep(1.5)
    cut_off(bed, isolated)
    answers = {}
    callers = [
        threading.Thread(target=call, args=(bed, isolated, request, answers))
        for request in ("chat-1", "ping-1", "chat-2")
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.6)
    n_tunnels = bed.read_log(relay).count("tunnel opened")
    bed.record.write(f"{relay} has opened {n_tunnels} tunnels")
    if n_tunnels == 0:
        raise CaseError("no answer went through another host")
    if bed.has_trouble:
        bed.kill(relay)
    for caller in callers:
        caller.join(12)
    return [problem for request in answers for problem in judge(request, answers)]


def cut_off(bed, isolated):
    """Refuse the connections of a host to all runners for a moment.

    The other host opens none meanwhile, so that it sees nothing of it.
    """
    for runner in bed.runners:
        runner.listener.close()
    bed.record.write(f"{isolated} is cut off from all runners")
    client = Client(bed, bed.get_front(isolated), 0.5)
    client.send("GET", "/ping/0", "probe-0", [("X-Deadline-Ms", "400")])
    time.sleep(CUT_S)
    client.close()
    for runner in bed.runners:
        runner.listener.open()
    bed.record.write("the runners take connections again")


def call(bed, entry, request, answers):
    """Send a request and keep its answer."""
    client = Client(bed, bed.get_front(entry))
    method = "POST" if request.startswith("chat") else "GET"
    path = "/chat/1" if request.startswith("chat") else "/ping/1"
    deadline_ms = 4000
    headers = [("X-Deadline-Ms", str(deadline_ms))]
    answers[request] = client.call(method, path, request, headers, b"")
    client.close()


def judge(request, answers):
    """Return what is wrong with a success that looks whole."""
    answer_got = answers[request]
    if answer_got.status != 200 or not answer_got.is_whole:
        return []
    if request.startswith("chat"):
        expected = b"".join(make_events(request, N_EVENTS))
        rule = "ORDER"
    else:
        expected = PART * PLAIN_PARTS
        rule = "MIXED"
    if answer_got.body == expected:
        return []
    n_bytes = len(answer_got.body)
    return [
        f"{rule}: {request} got a signed 200 that looks whole with {n_bytes} of "
        f"{len(expected)} bytes"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)

"""A client offers an upgrade in a request with a body, as HTTP/1.1 allows."""

from pathlib import Path

from bed3 import (
    Client,
    answer_plain,
    make_route,
    make_services,
    run_case,
)

BODY = b'{"waiver": "two kayaks", "signed": true, "guest": "A. Horvat"}'
# What a client of HTTP/2 sends with its first request on a plain connection, to learn
# whether the server can speak it (RFC 7540, section 3.2; RFC 9110, section 7.8).
OFFER = (
    ("Connection", "Upgrade, HTTP2-Settings"),
    ("Upgrade", "h2c"),
    ("HTTP2-Settings", "AAMAAABkAAQAoAAAAAIAAAAA"),
)


def play(bed):
    """Send records with and without the offer, and compare what runs."""
    for zone in ("split-a", "zadar-b", "rijeka-c"):
        bed.start(bed.add_store(zone), is_first=True)
    front = bed.add_entry("split-a")
    bed.start(front, is_first=True)
    for _ in range(2):
        bed.add_runner("app", answer_plain, slots=6)
    routes = [make_route("r-file", "/file/", "unsafe", "app", timeout_ms=2000)]
    bed.publish(routes, make_services())
    bed.wait_ready([front])
    problems = []
    for number in range(3):
        request = f"file-{number}"
        client = Client(bed, bed.get_front(front))
        headers = [("X-Deadline-Ms", "2000")]
        if bed.has_trouble:
            headers.extend(OFFER)
        answer = client.call("POST", "/file/4b", request, headers, BODY)
        problems.extend(judge(bed, request, answer))
        # The client keeps the connection, as the answer allows, and uses it again.
        if "close" not in answer.headers.get("connection", "").lower():
            problems.extend(reuse(bed, client, f"next-{number}"))
        client.close()
    return problems


def judge(bed, request, answer):
    """Return what is wrong with the runs and the answer of a request."""
    problems = []
    for runner, _, _, _, body in bed.find_runs(request):
        if body != BODY:
            problems.append(
                f"UNASKED: {runner} ran {request} with a body of {len(body)} bytes; "
                f"the client sent {len(BODY)}; it was answered {answer.status}"
            )
    if not answer.is_whole and not bed.find_runs(request):
        bed.record.write(f"{request} was not served")
    return problems


def reuse(bed, client, request):
    """Send an ordinary request on the kept connection and judge its answer."""
    headers = [("X-Deadline-Ms", "2000")]
    try:
        answer = client.call("POST", "/file/4b", request, headers, BODY)
    except OSError as error:
        bed.record.write(f"the kept connection was closed: {error}")
        return []
    if answer.status == 400 and not bed.find_runs(request):
        bed.record.write(f"{request} got an answer that was not made for it")
    return judge(bed, request, answer)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)

"""Guard against an application that is told something else than its caller sent."""

from datetime import UTC, datetime

from oleanderhitch.connection.caller.wsgi import make_environment, make_wsgi_service
from oleanderhitch.connection.http.messages import CallerDisconnected, HttpRequest
from oleanderhitch.process.mailbox import make_mailbox


class RecordingWriter:
    """Records what a response writes."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        """Return a method that records its name and arguments."""
        return lambda *arguments: self.calls.append((name, *arguments))


def serve(app, mailbox):
    """Serve a request with an application; return what was written."""
    writer = RecordingWriter()
    request = HttpRequest("GET", "/", (("host", "h"),), b"")
    make_wsgi_service(app)(request, writer, mailbox, datetime.now(UTC))
    return writer.calls


def test_environment_has_the_request():
    """Guard against headers that pass for others, such as X_Account for X-Account."""
    headers = (
        ("host", "h"),
        ("x-account", "a"),
        ("x_account", "b"),
        ("via", "1"),
        ("via", "2"),
        ("transfer-encoding", "chunked"),
    )
    environment = make_environment(
        HttpRequest("POST", "/a%20b/%C3%BC?c=%20d", headers, b"body")
    )
    assert environment["HTTP_X_ACCOUNT"] == "a"
    assert environment["HTTP_VIA"] == "1,2"
    assert environment["PATH_INFO"] == "/a b/ü".encode().decode("latin-1")
    assert environment["QUERY_STRING"] == "c=%20d"
    assert environment["CONTENT_LENGTH"] == "4"
    assert environment["wsgi.input"].read() == b"body"
    assert "HTTP_TRANSFER_ENCODING" not in environment


def test_stream_stops_when_its_caller_has_left():
    """Guard against streams that run on for nobody."""
    mailbox = make_mailbox("caller")
    closed = []

    def app(environment, start):
        start("200 OK", [("X-A", "b")])

        def generate():
            try:
                yield b"1"
                yield b"2"
                mailbox.send(CallerDisconnected("left"))
                yield b"3"
                yield b"4"
            finally:
                closed.append(True)

        return generate()

    calls = serve(app, mailbox)
    assert calls[0] == ("start", 200, (("x-a", "b"),))
    assert calls[1:] == [("write", b"1"), ("write", b"2"), ("write", b"3")]
    assert closed
    assert mailbox.n_waiting == 1


def test_stream_that_fails_does_not_look_whole():
    """Guard against an answer that broke off and has its last chunk."""

    def app(environment, start):
        start("200 OK", [])
        yield b"1"
        raise ValueError("broken")

    calls = serve(app, make_mailbox("caller"))
    assert calls[-1] == ("abort",)
    assert ("finish",) not in calls

"""An HTTP connection that is reused, against a server that may close it after a request.

The server records the requests that it reads, which shows whether one was sent twice.
"""

import socket
from concurrent.futures import ThreadPoolExecutor
from threading import Event, Lock

import pytest

from masticgate import Address, Millis
from masticgate.connection._http_connection import HttpConnection, HttpFailure, HttpReply

TIMEOUT = Millis(5000.0)


class ClosingServer:
    """Responds to each request, except to those for two paths.

    It closes the connection when it has read a request for ``/close``. For ``/hold`` it only sets
    ``request_held`` and clears ``closed``, which is set when the client closes a connection.
    """

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.lock = Lock()
        self.paths = []
        self.connections = 0
        self.open = []
        self.closed = Event()
        self.request_held = Event()
        self.tasks = ThreadPoolExecutor(16)
        self.tasks.submit(self.run)

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            self.open.append(connection)
            self.tasks.submit(self.serve, connection)

    def serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            while line := reader.readline():
                path = line.split()[1].decode()
                length = 0
                while (header := reader.readline()) not in (b"\r\n", b""):
                    if header.lower().startswith(b"content-length:"):
                        length = int(header.split(b":")[1])
                reader.read(length)
                with self.lock:
                    self.paths.append(path)
                if path == "/close":
                    return
                if path == "/hold":
                    self.request_held.set()
                    self.closed.clear()
                    continue
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.closed.set()

    def close_connections(self):
        for connection in self.open:
            connection.shutdown(socket.SHUT_RDWR)

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.tasks.shutdown()


@pytest.fixture
def server():
    started = ClosingServer()
    yield started
    started.stop()


@pytest.fixture
def connection(server):
    opened = HttpConnection(server.address)
    assert isinstance(opened.post("/warm", b"{}", TIMEOUT), HttpReply)
    yield opened
    opened.close()


class TestHttpConnection:
    def test_reuses_connection_for_further_requests(self, server, connection):
        assert connection.post("/a", b"{}", TIMEOUT) == HttpReply(200, b"ok")
        assert connection.get("/b", TIMEOUT) == HttpReply(200, b"ok")
        assert connection.post("/c", b"{}", TIMEOUT) == HttpReply(200, b"ok")
        assert server.connections == 1

    @pytest.mark.parametrize("method", ["post", "post_once"])
    def test_does_not_resend_request_that_server_read_before_closing(
        self, server, connection, method
    ):
        reply = getattr(connection, method)("/close", b'{"ticket": "t"}', TIMEOUT)
        assert isinstance(reply, HttpFailure) and reply.sent
        assert connection.post("/after", b"{}", TIMEOUT) == HttpReply(200, b"ok")
        assert server.paths == ["/warm", "/close", "/after"]

    def test_opens_new_connection_if_idle_one_was_closed(self, server, connection):
        server.close_connections()
        assert connection.post("/a", b"{}", TIMEOUT) == HttpReply(200, b"ok")
        assert server.paths == ["/warm", "/a"]

    def test_reports_nothing_sent_if_connecting_fails(self, server, connection):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            address = Address(f"127.0.0.1:{unused.getsockname()[1]}")
        reply = HttpConnection(address).post_once("/book", b"{}", TIMEOUT)
        assert isinstance(reply, HttpFailure) and not reply.sent

    def test_closes_connection_of_request_that_timed_out(self, server, connection):
        assert isinstance(connection.post("/hold", b"{}", Millis(50.0)), HttpFailure)
        assert server.closed.wait(5.0)


class TestAbort:
    def test_ends_request_in_progress_and_does_not_resend_it(self, server, connection):
        with ThreadPoolExecutor(1) as tasks:
            running = tasks.submit(connection.post, "/hold", b"{}", TIMEOUT)
            assert server.request_held.wait(5.0)
            connection.abort()
            assert isinstance(running.result(5.0), HttpFailure)
        assert server.paths == ["/warm", "/hold"]

    def test_prevents_requests_until_allowed_again(self, server, connection):
        connection.abort()
        assert isinstance(connection.post("/never", b"{}", TIMEOUT), HttpFailure)
        connection.allow_requests()
        assert connection.post("/a", b"{}", TIMEOUT) == HttpReply(200, b"ok")
        assert server.paths == ["/warm", "/a"]

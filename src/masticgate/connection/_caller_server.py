"""The HTTP/1.1 server for callers, with keep-alive and one task for each connection."""

import socket
from concurrent.futures import Executor
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from io import BytesIO
from typing import Any
from urllib.parse import unquote

from werkzeug.wrappers import Response

from .._clock import MILLIS_PER_SECOND, Clock, SystemClock
from .._failures import NotRun, Reason, Step
from .._ids import Address, Millis
from ._address import accept_connections, listen_on
from ._caller_app import CallerApp, failure_response
from ._caller_places import CallerPlaces, Place, PlaceState
from ._request_reader import IncompleteRequestError, RequestReader

MAX_DISCARDED_BYTES = 1_000_000
"""The maximum number of bytes of a refused body that are read before the connection is closed."""


class CallerConnection(BaseHTTPRequestHandler):
    """Serves the requests of one connection, one after another, until it ends.

    The base class parses a request and calls :meth:`do_GET` or :meth:`do_POST`. What the connection
    does is recorded in ``place``.
    """

    protocol_version = "HTTP/1.1"
    server_version = "masticgate"
    sys_version = ""
    disable_nagle_algorithm = True
    wbufsize = -1
    server: "CallerServer"  # type: ignore[assignment]

    def __init__(self, connection: socket.socket, server: "CallerServer", place: Place) -> None:
        self.place = place
        super().__init__(connection, None, server)  # type: ignore[arg-type]

    def setup(self) -> None:
        """Set the timeout of reads and writes, after which the connection is closed."""
        self.connection = self.request
        self.connection.settimeout(self.server.timeout / MILLIS_PER_SECOND)
        super().setup()
        self.rfile = self.reader = RequestReader(self.rfile)  # type: ignore[assignment]

    def handle_one_request(self) -> None:
        """Read one request and serve it; afterwards the connection is idle again."""
        self.reader.start_request()
        super().handle_one_request()
        self.server.places.enter(self.place, PlaceState.IDLE)
        if self.server.stopping:
            _shut_down_reading(self.connection)

    def parse_request(self) -> bool:
        """Parse a request whose first line was received; the connection is no longer idle."""
        self.server.places.enter(self.place, PlaceState.READING)
        return super().parse_request()

    def do_GET(self) -> None:  # noqa: N802
        """Serve a GET request."""
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        """Serve a POST request."""
        self._serve()

    def _serve(self) -> None:
        length = self._content_length()
        if length is None or "Transfer-Encoding" in self.headers:
            self.close_connection = True
            detail = "exactly one valid Content-Length and no Transfer-Encoding is required"
            self._send_response(
                failure_response(NotRun(Reason.BAD_REQUEST, Step.READ, detail=detail))
            )
            return
        if length > self.server.app.max_body_bytes:
            self.close_connection = True
            self._send_response(
                failure_response(NotRun(Reason.TOO_LARGE, Step.READ, detail="the request body"))
            )
            self._discard(min(length, MAX_DISCARDED_BYTES))
            return
        body = self.rfile.read(length)
        if len(body) < length:
            raise IncompleteRequestError("the connection ended within the body of a request")
        self._respond(body)

    def _respond(self, body: bytes) -> None:
        status: list[Any] = []

        def start_response(line: str, headers: list[tuple[str, str]]) -> None:
            status.extend((line, headers))

        self.server.places.enter(self.place, PlaceState.SERVING)
        chunks = list(self.server.app(self._environ(body), start_response))
        if self.server.closing or self.server.places.is_wanted(self.place):
            self.close_connection = True
        self._send(status[0], status[1], b"".join(chunks))

    def _send_response(self, response: Response) -> None:
        headers = [(name, value) for name, value in response.headers]
        self._send(response.status, headers, response.get_data())

    def _send(self, line: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.server.places.enter(self.place, PlaceState.REPLYING)
        code, _, reason = line.partition(" ")
        self.send_response_only(int(code), reason)
        for name, value in headers:
            self.send_header(name, value)
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def _content_length(self) -> int | None:
        values = self.headers.get_all("Content-Length", [])
        if not values:
            return 0 if self.command == "GET" else None
        text = values[0].strip()
        return int(text) if len(values) == 1 and text.isdecimal() and len(text) < 16 else None

    def _discard(self, length: int) -> None:
        """Read and discard the rest of the body.

        If the connection were closed with unread bytes, the caller would get a reset of the
        connection instead of the response.
        """
        with suppress(OSError):
            while length > 0:
                chunk = self.rfile.read(min(length, 65_536))
                if not chunk:
                    return
                length -= len(chunk)

    def _environ(self, body: bytes) -> dict[str, Any]:
        path, _, query = self.path.partition("?")
        host, port = self.server.listener.getsockname()[:2]
        return {
            "REQUEST_METHOD": self.command,
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote(path, "iso-8859-1"),
            "QUERY_STRING": query,
            "SERVER_NAME": host,
            "SERVER_PORT": str(port),
            "SERVER_PROTOCOL": self.request_version,
            "CONTENT_TYPE": self.headers.get("Content-Type", ""),
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http",
            "wsgi.input": BytesIO(body),
            "wsgi.errors": BytesIO(),
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
        }

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Refuse a request that the base class cannot handle, such as one that is not valid HTTP.

        The response is a :func:`failure_response` with the status ``code``.
        """
        self.request_version = self.protocol_version
        self.close_connection = True
        response = failure_response(NotRun(Reason.BAD_REQUEST, Step.READ, detail=message or ""))
        response.status_code = code
        self._send_response(response)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing, since requests are counted and not logged."""


class CallerServer:
    """Accepts connections of callers, as many as there are places.

    A further one is refused if no other connection gives way to it in time. ``timeout`` bounds each
    wait for a caller to send or to accept bytes.
    """

    def __init__(
        self,
        address: Address,
        app: CallerApp,
        tasks: Executor,
        max_callers: int,
        timeout: Millis,
        clock: Clock | None = None,
    ) -> None:
        self.listener = listen_on(address)
        self.app = app
        self.tasks = tasks
        self.timeout = timeout
        self.places = CallerPlaces(max_callers, clock or SystemClock())
        self.closing = False
        self.stopping = False

    def run(self) -> None:
        """Accept connections until :meth:`stop` is called."""
        accepted = accept_connections(lambda: self.listener.accept(), lambda: self.stopping)
        for connection, _ in accepted:
            place = self.places.add(connection)
            if place is None:
                _refuse_connection(connection)
            else:
                self._start(place)

    def _start(self, place: Place) -> None:
        try:
            self.tasks.submit(self.serve, place)
        except RuntimeError:  # No thread can be started, or the process is stopping.
            self.places.release(place)
            _refuse_connection(place.connection)

    def serve(self, place: Place) -> None:
        """Serve one connection until either side closes it or a read or write times out."""
        try:
            if self.places.await_turn(place):
                CallerConnection(place.connection, self, place)
            else:
                _send_refusal(place.connection)
        except IncompleteRequestError:
            if place.gave_way:
                _send_refusal(place.connection)
        except OSError:
            return
        finally:
            self.places.release(place)
            place.connection.close()

    def close_after_response(self) -> None:
        """Close each connection after its next response, so that callers turn to other hosts."""
        self.closing = True

    def stop(self) -> None:
        """Stop accepting connections and close the idle ones; requests in progress continue."""
        self.closing = True
        self.stopping = True
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.places.connections(PlaceState.IDLE):
            _shut_down_reading(connection)

    def abort(self) -> None:
        """Close all open connections, even those with a request in progress."""
        for connection in self.places.connections(*PlaceState):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def await_closed(self, timeout: Millis) -> bool:
        """Wait until all connections are closed; return ``False`` if ``timeout`` passes first."""
        return self.places.await_released(timeout)


def _shut_down_reading(connection: socket.socket) -> None:
    """End the input of the connection, after the bytes that have already arrived."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RD)


def _refuse_connection(connection: socket.socket) -> None:
    """Send a refusal for overload and close the connection."""
    _send_refusal(connection)
    connection.close()


def _send_refusal(connection: socket.socket) -> None:
    """Send a refusal for overload, unless the caller does not accept it at once."""
    response = failure_response(NotRun(Reason.OVERLOAD, Step.READ, detail="too many callers"))
    body = response.get_data()
    head = (
        f"HTTP/1.1 {response.status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
    )
    with suppress(OSError):
        connection.send(head.encode() + body, socket.MSG_DONTWAIT)

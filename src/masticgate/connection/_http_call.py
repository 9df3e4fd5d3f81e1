"""One kept-alive HTTP connection to one server, through pycurl."""

import socket
from dataclasses import dataclass
from io import BytesIO

import pycurl

from .._ids import Address, Millis

MAX_BODY_BYTES = 2_000_000


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpLost:
    """No complete response came; ``sent`` tells whether a byte may have left."""

    sent: bool
    message: str


class HttpCall:
    """Runs one request at a time over its own connection; :meth:`abort` comes from any task."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.curl = pycurl.Curl()
        self.socket: socket.socket | None = None

    def get(self, path: str, timeout: Millis) -> HttpReply | HttpLost:
        """Run a GET request."""
        self._prepare(path, timeout)
        self.curl.setopt(pycurl.HTTPGET, 1)
        return self._perform()

    def post(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpLost:
        """Run a POST request that may be repeated: libcurl resends it where a kept-alive
        connection turns out to be closed."""
        self._prepare(path, timeout)
        self._set_body(body)
        return self._perform()

    def post_once(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpLost:
        """Run a POST request on a connection of its own, so that libcurl never resends it."""
        self.reset()
        self._prepare(path, timeout)
        self.curl.setopt(pycurl.FRESH_CONNECT, 1)
        self.curl.setopt(pycurl.FORBID_REUSE, 1)
        self._set_body(body)
        reply = self._perform()
        self.reset()
        return reply

    def abort(self) -> None:
        """Cut the connection; the request in progress fails at once."""
        connection = self.socket
        if connection is not None:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def reset(self) -> None:
        """Close the connection; the next request opens a new one."""
        self.curl.close()
        self.socket = None
        self.curl = pycurl.Curl()

    def close(self) -> None:
        """Close the connection for good."""
        self.curl.close()
        self.socket = None

    def _prepare(self, path: str, timeout: Millis) -> None:
        curl = self.curl
        curl.reset()
        curl.setopt(pycurl.URL, f"http://{self.address}{path}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout)))
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])

    def _set_body(self, body: bytes) -> None:
        self.curl.setopt(pycurl.POST, 1)
        self.curl.setopt(pycurl.POSTFIELDS, body)

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, tuple[str, int]]
    ) -> socket.socket:
        family, kind, protocol, _ = address
        self.socket = socket.socket(family, kind, protocol)
        return self.socket

    def _perform(self) -> HttpReply | HttpLost:
        buffer = BytesIO()

        def collect(chunk: bytes) -> int | None:
            if buffer.tell() + len(chunk) > MAX_BODY_BYTES:
                return 0
            buffer.write(chunk)
            return None

        self.curl.setopt(pycurl.WRITEFUNCTION, collect)
        try:
            self.curl.perform()
        except pycurl.error as error:
            sent = bool(self.curl.getinfo(pycurl.REQUEST_SIZE))
            return HttpLost(sent, str(error.args[1]) if len(error.args) > 1 else str(error))
        return HttpReply(self.curl.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue())

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
    """Runs one request at a time over its own connection; :meth:`abort` comes from any task.

    A request whose body was read is never sent again: libcurl would resend a POST where a
    kept-alive connection closes before the response, which is beyond every budget of retries.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.curl = pycurl.Curl()
        self.path = ""
        self.socket: socket.socket | None = None
        self.aborted = False
        self.unsent = BytesIO()
        self.received = BytesIO()
        self._prepare()

    def get(self, path: str, timeout: Millis) -> HttpReply | HttpLost:
        """Run a GET request."""
        self.curl.setopt(pycurl.HTTPGET, 1)
        return self._perform(path, timeout)

    def post(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpLost:
        """Run a POST request."""
        self.curl.setopt(pycurl.POST, 1)
        self.curl.setopt(pycurl.POSTFIELDSIZE, len(body))
        self.unsent = BytesIO(body)
        return self._perform(path, timeout)

    def post_once(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpLost:
        """Run a POST request on a connection of its own.

        A kept-alive connection may close just as the request leaves, and then nobody knows
        whether it ran; a new connection does not.
        """
        self.reset()
        self.curl.setopt(pycurl.FORBID_REUSE, 1)
        reply = self.post(path, body, timeout)
        self.reset()
        return reply

    def abort(self) -> None:
        """Cut the connection; the request in progress fails at once.

        Until :meth:`allow` is called no other connection opens.
        """
        self.aborted = True
        connection = self.socket
        if connection is not None:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def allow(self) -> None:
        """Allow the next request, after an abort too."""
        self.aborted = False

    def reset(self) -> None:
        """Close the connection; the next request opens a new one."""
        self.close()
        self.curl = pycurl.Curl()
        self._prepare()

    def close(self) -> None:
        """Close the connection for good."""
        self.curl.close()
        self.socket = None
        self.path = ""

    def _prepare(self) -> None:
        """Set what stays the same for every request."""
        curl = self.curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.READFUNCTION, self._read)
        curl.setopt(pycurl.WRITEFUNCTION, self._collect)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])

    def _read(self, size: int) -> bytes:
        return self.unsent.read(size)

    def _collect(self, chunk: bytes) -> int | None:
        if self.received.tell() + len(chunk) > MAX_BODY_BYTES:
            return 0
        self.received.write(chunk)
        return None

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, tuple[str, int]]
    ) -> socket.socket | int:
        family, kind, protocol, _ = address
        opened = socket.socket(family, kind, protocol)
        self.socket = opened
        if self.aborted:
            opened.close()
            return pycurl.SOCKET_BAD
        return opened

    def _perform(self, path: str, timeout: Millis) -> HttpReply | HttpLost:
        if path != self.path:
            self.path = path
            self.curl.setopt(pycurl.URL, f"http://{self.address}{path}")
        self.curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout)))
        self.received = BytesIO()
        try:
            self.curl.perform()
        except pycurl.error as error:
            sent = bool(self.curl.getinfo(pycurl.REQUEST_SIZE))
            return HttpLost(sent, str(error.args[1]) if len(error.args) > 1 else str(error))
        return HttpReply(self.curl.getinfo(pycurl.RESPONSE_CODE), self.received.getvalue())

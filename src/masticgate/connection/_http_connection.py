"""The client side of a kept-alive HTTP connection to one server, based on pycurl."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from io import BytesIO
from threading import Lock

import pycurl

from .._ids import Address, Millis

MAX_BODY_BYTES = 2_000_000
"""The size of the largest response body that is accepted."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """No complete response was received.

    ``sent`` says whether a part of the request may have been sent.
    """

    sent: bool
    message: str


class HttpConnection:
    """Sends one request at a time over one connection; any task may call :meth:`abort`.

    libcurl sends a POST again on its own if a kept-alive connection closes before the response, and
    no retry budget would count that. The body therefore comes from a function that supplies it only
    once, so that a request is never sent again after libcurl has read its body.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.curl = pycurl.Curl()
        self.path = ""
        self.socket: socket.socket | None = None
        self.lock = Lock()
        self.aborted = False
        self.request_body = BytesIO()
        self.response_body = BytesIO()
        self._set_options()

    def get(self, path: str, timeout: Millis) -> HttpReply | HttpFailure:
        """Send a GET request and return the response."""
        self._reset_if_closed()
        self.curl.setopt(pycurl.HTTPGET, 1)
        return self._perform(path, timeout)

    def post(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpFailure:
        """Send a POST request and return the response."""
        self._reset_if_closed()
        self.curl.setopt(pycurl.POST, 1)
        self.curl.setopt(pycurl.POSTFIELDSIZE, len(body))
        self.request_body = BytesIO(body)
        return self._perform(path, timeout)

    def post_once(self, path: str, body: bytes, timeout: Millis) -> HttpReply | HttpFailure:
        """Send a POST request on a new connection that no other request uses.

        The server may close a kept-alive connection just as the request is sent, and then it is
        unknown whether the request ran. A server does not close a new connection for being idle.
        """
        self.reset()
        self.curl.setopt(pycurl.FORBID_REUSE, 1)
        reply = self.post(path, body, timeout)
        self.reset()
        return reply

    def abort(self) -> None:
        """Shut the connection down, so that the request in progress fails at once.

        No further connection is opened before :meth:`allow_requests` is called.
        """
        with self.lock:
            self.aborted = True
            if self.socket is not None:
                with suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)

    def allow_requests(self) -> None:
        """Allow further requests; after an abort, the next one opens a new connection."""
        if self.aborted:
            self.reset()
            self.aborted = False

    def reset(self) -> None:
        """Close the connection, so that the next request opens a new one."""
        self.close()
        self.curl = pycurl.Curl()
        self._set_options()

    def close(self) -> None:
        """Close the connection; only :meth:`reset` makes further requests possible."""
        self.curl.close()
        self._close_socket()
        self.path = ""

    def _set_options(self) -> None:
        """Set the options that are the same for every request."""
        curl = self.curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.READFUNCTION, self._read_request_body)
        curl.setopt(pycurl.WRITEFUNCTION, self._append_to_response)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])

    def _close_socket(self) -> None:
        """Close this object's file descriptor of the socket; libcurl has a duplicate of it."""
        with self.lock:
            if self.socket is not None:
                self.socket.close()
                self.socket = None

    def _reset_if_closed(self) -> None:
        if self._is_closed_by_server() and not self.aborted:
            self.reset()

    def _is_closed_by_server(self) -> bool:
        """Return whether the server closed the connection while it was idle."""
        if self.socket is None:
            return False
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _read_request_body(self, size: int) -> bytes:
        return self.request_body.read(size)

    def _append_to_response(self, chunk: bytes) -> int | None:
        """Append to the response body; return 0, which ends the request, if it gets too large."""
        if self.response_body.tell() + len(chunk) > MAX_BODY_BYTES:
            return 0
        self.response_body.write(chunk)
        return None

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, tuple[str, int]]
    ) -> socket.socket | int:
        family, kind, protocol, _ = address
        self._close_socket()
        with self.lock:
            if self.aborted:
                return pycurl.SOCKET_BAD
            self.socket = socket.socket(family, kind, protocol)
            return self.socket

    def _perform(self, path: str, timeout: Millis) -> HttpReply | HttpFailure:
        if path != self.path:
            self.path = path
            self.curl.setopt(pycurl.URL, f"http://{self.address}{path}")
        self.curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout)))
        self.response_body = BytesIO()
        try:
            self.curl.perform()
        except pycurl.error as error:
            self._close_socket()
            sent = bool(self.curl.getinfo(pycurl.REQUEST_SIZE))
            return HttpFailure(sent, str(error.args[1]) if len(error.args) > 1 else str(error))
        return HttpReply(self.curl.getinfo(pycurl.RESPONSE_CODE), self.response_body.getvalue())

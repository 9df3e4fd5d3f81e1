"""A minimal HTTP/1.1 server on asyncio, shared by the stand-ins."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import httptools

Handler = Callable[["Exchange"], None]


class Exchange:
    """One request and the means to answer it.

    ``on_close`` is called when the connection closes before the request is answered.
    """

    def __init__(self, protocol: "HttpProtocol", method: str, url: str, body: bytes) -> None:
        self.protocol = protocol
        self.method = method
        self.url = url
        self.body = body
        self.on_close: Callable[[], None] | None = None

    def json(self) -> Any:
        """Return the body of the request, decoded."""
        return json.loads(self.body)

    def answer(self, status: int, value: Any = None) -> None:
        """Respond with ``value`` as JSON, or with an empty body for None."""
        body = b"" if value is None else json.dumps(value).encode()
        self.protocol.write(status, body)

    def close(self) -> None:
        """Close the connection without answering the request."""
        self.protocol.transport.close()


class HttpProtocol(asyncio.Protocol):
    """One connection, whose client sends a request only when the one before is answered.

    ``on_connection_change`` is called with 1 when the connection opens and with -1 when it closes.
    ``exchange`` is the request that is not answered yet.
    """

    def __init__(self, handle: Handler, on_connection_change: Callable[[int], None]) -> None:
        self.handle = handle
        self.on_connection_change = on_connection_change
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body = b""
        self.exchange: Exchange | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.on_connection_change(1)

    def connection_lost(self, error: Exception | None) -> None:
        self.on_connection_change(-1)
        if self.exchange is not None and self.exchange.on_close is not None:
            self.exchange.on_close()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        self.url, self.body = b"", b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        self.exchange = Exchange(self, method, self.url.decode(), self.body)
        self.handle(self.exchange)

    def write(self, status: int, body: bytes) -> None:
        self.exchange = None
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


async def listen(
    address: str, handle: Handler, on_connection_change: Callable[[int], None] = lambda change: None
) -> asyncio.Server:
    """Start a server that calls ``handle`` for each request to ``address``.

    An address is an IP address and a port, such as ``127.0.0.1:9000``.
    """
    ip_address, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: HttpProtocol(handle, on_connection_change), ip_address, int(port), backlog=512
    )

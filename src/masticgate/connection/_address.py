"""Functions that open sockets: connecting to an address, listening on one and accepting."""

import socket
from collections.abc import Callable, Iterator
from ipaddress import IPv4Address
from time import sleep
from typing import Any

from .._clock import MILLIS_PER_SECOND
from .._ids import Address, Millis

ACCEPT_RETRY_DELAY_S = 0.05
"""The pause after a failed accept, in seconds.

An accept fails when the process has no free file descriptor; one is free once a connection ends.
"""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(text: object) -> Address | None:
    """Return the address that ``text`` states, or ``None`` if it is not an IPv4 address and port.

    The port is a decimal number from 1 to 65535 in ASCII digits.
    """
    if not isinstance(text, str) or not text.isascii():
        return None
    ip, _, port = text.rpartition(":")
    if not port.isdigit() or len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        return None
    try:
        IPv4Address(ip)
    except ValueError:
        return None
    return Address(text)


def split_address(address: Address) -> tuple[str, int]:
    """Return the IP address and the port of ``address``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def open_socket(address: Address, timeout: Millis) -> socket.socket:
    """Connect to ``address``.

    :raises OSError: the connection is refused or takes longer than ``timeout``.
    """
    return socket.create_connection(split_address(address), timeout=timeout / MILLIS_PER_SECOND)


def listen_on(address: Address, backlog: int = 256) -> socket.socket:
    """Return a socket that listens on ``address``."""
    return socket.create_server(split_address(address), backlog=backlog)


def accept_connections(
    accept: Callable[[], tuple[socket.socket, Any]], stopped: Callable[[], bool]
) -> Iterator[tuple[socket.socket, Any]]:
    """Yield accepted connections until ``stopped`` returns ``True``.

    After a failed accept, pause for :data:`ACCEPT_RETRY_DELAY_S`.
    """
    while not stopped():
        try:
            accepted = accept()
        except OSError:
            if not stopped():
                sleep(ACCEPT_RETRY_DELAY_S)
            continue
        yield accepted

"""Addresses of sockets."""

import socket

from .._clock import MILLIS_PER_SECOND
from .._ids import Address, Millis


def split_address(address: Address) -> tuple[str, int]:
    """Return the IP number and the port of ``address``."""
    number, _, port = address.rpartition(":")
    return number, int(port)


def open_socket(address: Address, timeout: Millis) -> socket.socket:
    """Connect to ``address``.

    :raises OSError: the connection is refused or takes longer than ``timeout``.
    """
    return socket.create_connection(split_address(address), timeout=timeout / MILLIS_PER_SECOND)


def listen_on(address: Address, backlog: int = 256) -> socket.socket:
    """Return a socket that listens on ``address``."""
    return socket.create_server(split_address(address), backlog=backlog)

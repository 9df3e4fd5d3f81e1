"""Addresses of sockets."""

import socket
from collections.abc import Callable, Iterator
from time import sleep
from typing import Any

from .._clock import MILLIS_PER_SECOND
from .._ids import Address, Millis

ACCEPT_RETRY_DELAY_S = 0.05
"""After a failed accept, which is for want of a descriptor: until some connection ended."""


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


def accept_connections(
    accept: Callable[[], tuple[socket.socket, Any]], stopped: Callable[[], bool]
) -> Iterator[tuple[socket.socket, Any]]:
    """Yield accepted connections until ``stopped``, pausing where none can be accepted."""
    while not stopped():
        try:
            accepted = accept()
        except OSError:
            if not stopped():
                sleep(ACCEPT_RETRY_DELAY_S)
            continue
        yield accepted

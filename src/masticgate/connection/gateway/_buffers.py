"""The kernel's part of the memory of a connection, and bounds on the buffers of its socket."""

import socket
from contextlib import suppress

CALLER_UNREAD_BYTES = 32_768
"""The most bytes that the socket of a caller's connection keeps until the process reads them."""

SEARCHER_UNREAD_BYTES = 65_536
"""The same for a connection to a searcher, whose answers are larger than requests."""

MAX_UNSENT_BYTES = 131_072
"""The most bytes that a socket keeps until its peer accepts them.

They hold what is on its way at 100 Mbit/s with a round trip of 6 ms.
"""

KERNEL_STACK_BYTES = 16_384
"""The kernel's stack of the task of one connection."""

KERNEL_FACTOR = 2
"""The kernel doubles the size of a send buffer that it is told, for its own structures."""


def bound_buffers(connection: socket.socket, unread_bytes: int) -> None:
    """Bound the buffers of a socket, or of the connections that a listening socket accepts.

    It keeps up to ``unread_bytes``. Without a bound, the buffers of one connection grow to several
    megabytes if its peer does not read, or is not read. To be called before the connection opens,
    since its window is then agreed.
    """
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_UNSENT_BYTES // KERNEL_FACTOR
        )

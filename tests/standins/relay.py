"""A TCP relay in front of one host, which can block connections from chosen other hosts.

Tests use relays to partition the network between hosts.
"""

import socket
import struct
from contextlib import suppress
from threading import Lock, Thread

from masticgate.connection import decode_message

CHUNK_BYTES = 65_536
HELLO_TIMEOUT_SECONDS = 5.0
"""Bounds the wait for a hello, the first message on a connection, which names its sender."""


class Relay:
    """Accepts connections at ``address`` and relays them to ``target``, except from blocked hosts.

    The host that opened a connection is known from its hello. Each connection has threads of its
    own.
    """

    def __init__(self, address: str, target: str) -> None:
        self.target = split_address(target)
        self.listener = socket.create_server(split_address(address))
        self.lock = Lock()
        self.connections: dict[socket.socket, str] = {}
        self.blocked_hosts: frozenset[str] = frozenset()
        Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Start a thread for each connection until the listener is closed."""
        with suppress(OSError):
            while True:
                incoming, _ = self.listener.accept()
                Thread(target=self.serve_connection, args=(incoming,), daemon=True).start()

    def serve_connection(self, incoming: socket.socket) -> None:
        """Read the hello, and relay the connection unless its host is blocked."""
        with suppress(OSError), incoming:
            incoming.settimeout(HELLO_TIMEOUT_SECONDS)
            length_prefix = incoming.recv(4, socket.MSG_WAITALL)
            hello = incoming.recv(struct.unpack("!I", length_prefix)[0], socket.MSG_WAITALL)
            host = decode_message(hello).host
            incoming.settimeout(None)
            with self.lock:
                if host in self.blocked_hosts:
                    return
                self.connections[incoming] = host
            with socket.create_connection(self.target) as outgoing:
                outgoing.sendall(length_prefix + hello)
                Thread(target=copy_bytes, args=(outgoing, incoming), daemon=True).start()
                copy_bytes(incoming, outgoing)
        with self.lock:
            self.connections.pop(incoming, None)

    def block_hosts(self, hosts: set[str]) -> None:
        """Close the connections of ``hosts``, and refuse new ones.

        Hosts that were blocked before and are not in ``hosts`` may connect again.
        """
        with self.lock:
            self.blocked_hosts = frozenset(hosts)
            blocked = [connection for connection, host in self.connections.items() if host in hosts]
        for connection in blocked:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop listening; connections that are open stay open."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def copy_bytes(source: socket.socket, sink: socket.socket) -> None:
    """Copy bytes from ``source`` to ``sink`` until one of them closes, then shut down both."""
    with suppress(OSError):
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    for end in (source, sink):
        with suppress(OSError):
            end.shutdown(socket.SHUT_RDWR)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``address``."""
    ip_address, _, port = address.rpartition(":")
    return ip_address, int(port)

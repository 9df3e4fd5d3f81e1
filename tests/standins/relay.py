"""A TCP relay before one host, which a test can cut for some of the hosts that connect."""

import socket
import struct
from contextlib import suppress
from threading import Lock, Thread

from masticgate.connection import decode_message

CHUNK_BYTES = 65_536
HELLO_TIMEOUT_SECONDS = 5.0


class Relay:
    """Forwards connections to ``target``, but for those whose hello names a blocked host."""

    def __init__(self, address: str, target: str) -> None:
        self.target = split_address(target)
        self.listener = socket.create_server(split_address(address))
        self.lock = Lock()
        self.connections: dict[socket.socket, str] = {}
        self.blocked_hosts: frozenset[str] = frozenset()
        Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        with suppress(OSError):
            while True:
                incoming, _ = self.listener.accept()
                Thread(target=self.serve_connection, args=(incoming,), daemon=True).start()

    def serve_connection(self, incoming: socket.socket) -> None:
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
        """Break the connections of ``hosts`` and refuse them; an empty set heals."""
        with self.lock:
            self.blocked_hosts = frozenset(hosts)
            ends = [end for end, host in self.connections.items() if host in hosts]
        for end in ends:
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop listening."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def copy_bytes(source: socket.socket, sink: socket.socket) -> None:
    """Pass on what arrives until one end closes; then close the other."""
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

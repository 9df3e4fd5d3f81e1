"""A TCP relay before one host, which a test can cut for some of the hosts that connect."""

import socket
import struct
from contextlib import suppress
from threading import Lock, Thread

from masticgate.connection import decode_message

CHUNK_BYTES = 65_536
CONNECT_SECONDS = 5.0


class Relay:
    """Forwards connections to ``target``, but for those whose hello names a parted host."""

    def __init__(self, address: str, target: str) -> None:
        self.target = split(target)
        self.listener = socket.create_server(split(address))
        self.lock = Lock()
        self.open: dict[socket.socket, str] = {}
        self.parted: frozenset[str] = frozenset()
        Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near: socket.socket) -> None:
        with suppress(OSError), near:
            near.settimeout(CONNECT_SECONDS)
            head = near.recv(4, socket.MSG_WAITALL)
            hello = near.recv(struct.unpack("!I", head)[0], socket.MSG_WAITALL)
            host = decode_message(hello).host
            near.settimeout(None)
            with self.lock:
                if host in self.parted:
                    return
                self.open[near] = host
            with socket.create_connection(self.target) as far:
                far.sendall(head + hello)
                Thread(target=forward, args=(far, near), daemon=True).start()
                forward(near, far)
        with self.lock:
            self.open.pop(near, None)

    def cut(self, hosts: set[str]) -> None:
        """Break the connections of ``hosts`` and refuse them; an empty set heals."""
        with self.lock:
            self.parted = frozenset(hosts)
            ends = [end for end, host in self.open.items() if host in hosts]
        for end in ends:
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop listening."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def forward(source: socket.socket, sink: socket.socket) -> None:
    """Pass on what arrives until one end closes; then close the other."""
    with suppress(OSError):
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    for end in (source, sink):
        with suppress(OSError):
            end.shutdown(socket.SHUT_RDWR)


def split(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``address``."""
    number, _, port = address.rpartition(":")
    return number, int(port)

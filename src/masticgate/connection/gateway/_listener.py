"""The listening socket of a gateway, which starts one task for each caller's connection."""

import socket
from contextlib import suppress
from threading import Lock
from time import sleep

from ..._ids import Address
from .._address import accept_connections, listen_on
from ._buffers import CALLER_UNREAD_BYTES, bound_buffers
from ._caller import CallerConnection, CallerSettings
from ._closing_order import CallerState, Closing, Occupant, choose_closings
from ._task_starter import TaskStarter

LISTEN_RETRY_DELAY_S = 0.1
"""The pause after a failed attempt to listen; the address may be taken for some seconds."""

MAX_ENDING_SHARE = 0.25
"""The share of the connections that may be above the limit until their last request is served."""

UNNEEDED_STATES = (CallerState.IDLE, CallerState.REFUSED)


class Listener:
    """One listening socket and the open connections that it accepted.

    ``failure`` says why the socket does not listen, or is empty if it does. When there are more
    than ``max_connections``, others give way to a new one, as :func:`choose_closings` says; if none
    can, the new one is refused.
    """

    def __init__(
        self, address: Address, settings: CallerSettings, tasks: TaskStarter, max_connections: int
    ) -> None:
        self.address = address
        self.settings = settings
        self.tasks = tasks
        self.max_connections = max_connections
        self.lock = Lock()
        self.connections: set[CallerConnection] = set()
        self.socket: socket.socket | None = None
        self.failure = ""
        self.stopped = False
        self.rejected = 0
        self._listen()

    def run(self) -> None:
        """Accept connections until :meth:`stop` is called.

        If the address cannot be listened on yet, try again until it can.
        """
        while not self._listen():
            if self.stopped:
                return
            sleep(LISTEN_RETRY_DELAY_S)
        accepted = accept_connections(self._accept, lambda: self.stopped)
        for connection, _ in accepted:
            self._add_connection(connection)

    def stop(self) -> None:
        """Accept no more connections; those that are open are kept."""
        with self.lock:
            self.stopped = True
        if self.socket is not None:
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()

    def count(self, *states: CallerState) -> int:
        """Return the number of connections that are in one of ``states``."""
        with self.lock:
            return sum(caller.state in states for caller in self.connections)

    def close_idle(self) -> None:
        """Close every connection that waits for a request, or whose request was refused."""
        with self.lock:
            idle = [caller for caller in self.connections if caller.state in UNNEEDED_STATES]
        for caller in idle:
            caller.end(Closing.INPUT)

    def end_requests(self) -> None:
        """Make the requests in progress be answered without further waiting."""
        with self.lock:
            serving = list(self.connections)
        for caller in serving:
            caller.wakeable_socket.end_wait()

    def limit_connections(self, maximum: int) -> None:
        """Change ``max_connections``, and close connections that are idle or reading above it."""
        self.max_connections = maximum
        self._make_room(None)

    def describe_connections(self) -> "list[Occupant[CallerConnection]]":
        """Return what decides which of the connections, but for ending ones, give way."""
        with self.lock:
            kept = [caller for caller in self.connections if not caller.is_ending]
        return [caller.describe() for caller in kept]

    def sum_ending_bytes(self) -> int:
        """Return the bytes that connections which are about to end still hold."""
        with self.lock:
            return sum(
                caller.held_bytes
                for caller in self.connections
                if caller.is_ending and caller.state is not CallerState.SERVING
            )

    def _listen(self) -> bool:
        """Listen on the address; return ``False`` if that fails or :meth:`stop` was called."""
        with self.lock:
            if self.stopped:
                return False
            if self.socket is None:
                try:
                    self.socket = listen_on(self.address)
                    bound_buffers(self.socket, CALLER_UNREAD_BYTES)
                except OSError as error:
                    self.failure = str(error)
                    return False
                self.failure = ""
            return True

    def _accept(self) -> tuple[socket.socket, object]:
        assert self.socket is not None
        return self.socket.accept()

    def _add_connection(self, connection: socket.socket) -> None:
        try:
            caller = CallerConnection(connection, self.settings)
        except OSError:
            connection.close()
            with self.lock:
                self.rejected += 1
            return
        with self.lock:
            self.connections.add(caller)
        if not self._make_room(caller) or self.tasks.start(self._run, caller) is not None:
            self._reject(caller)

    def _run(self, caller: CallerConnection) -> None:
        try:
            caller.run()
        finally:
            with self.lock:
                self.connections.discard(caller)

    def _reject(self, caller: CallerConnection) -> None:
        """Refuse a connection for which there is no room or no task, and count it."""
        with self.lock:
            self.connections.discard(caller)
            self.rejected += 1
        caller.turn_away()

    def _make_room(self, newest: CallerConnection | None) -> bool:
        """Return whether there is room for ``newest``; close other connections for it if needed.

        There is none if too many that are to end still serve their last request.
        """
        with self.lock:
            if len(self.connections) <= self.max_connections:
                return True
            kept = [caller for caller in self.connections if not caller.is_ending]
            excess = len(kept) - self.max_connections
            ending_busy = sum(
                caller.is_ending and caller.state is CallerState.SERVING
                for caller in self.connections
            )
        if excess <= 0:
            return True
        closings = choose_closings(
            [caller.describe() for caller in kept if caller is not newest], excess
        )
        spare = self.max_connections * MAX_ENDING_SHARE - ending_busy
        for caller, closing in closings:
            if closing is Closing.AFTER_REPLY:
                if spare <= 0:
                    return False
                spare -= 1
            caller.end(closing)
        return bool(closings)

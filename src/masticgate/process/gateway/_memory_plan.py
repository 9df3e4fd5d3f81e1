"""How many bytes and connections a gateway may use, by the limits of its host.

The bytes are one sum for the whole process. Its memory consists of what the idle process needs (the
interpreter, the modules, the configuration and the listings), of a margin, and of the rest, which
is for the connections with their requests and answers.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ...connection.gateway import (
    CALLER_CONNECTION_BYTES,
    CALLER_KERNEL_BYTES,
    SEARCHER_CONNECTION_BYTES,
    SEARCHER_KERNEL_BYTES,
    MemoryUse,
)
from ._settings import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES, HostCapacity

MIN_MARGIN_BYTES = 6_000_000
MARGIN_SHARE = 0.08
"""The share of the limit that is kept free: free parts of the heap, and copies made for moments."""

MIN_ROOM_SHARE = 0.25
"""The share of the limit that connections may use even if the idle process leaves less."""

CALLERS_SHARE = 0.45
"""The share of the limit for the accepted connections, with what the kernel keeps for them."""

SEARCHERS_SHARE = 0.3
"""The share for the connections to searchers, and to gateways that gather."""

REQUESTS_SHARE = 0.5
"""The share of the room that larger requests may use."""

REQUESTS_CEILING = 0.75
"""Larger requests are refused once all uses together have taken this share of the room.

The rest is for the answers to requests that were passed on, which are refused last.
"""

QUIET_BYTES = 4_000_000
"""The process counts as idle while its connections use no more than this."""

PEER_SHARE = 0.4
"""The share of the accepted connections that other gateways may have open."""

DESCRIPTORS_PER_CALLER = 2
"""A connection that the gateway accepted has its socket and one descriptor to wake its task."""

MAX_FILE_DESCRIPTORS = 200
FILE_DESCRIPTORS_SHARE = 0.25
"""The descriptors kept for files: a share of all, but no more than ``MAX_FILE_DESCRIPTORS``."""

PROCESS_DESCRIPTORS = 16
"""The descriptors of the idle process: streams, signals, listeners, seeds and the store."""

CALLERS_DESCRIPTORS_SHARE = 0.75
"""The share of the other descriptors that accepted connections may use.

The rest is for the connections to searchers, to other gateways and to the store.
"""

MIN_CONNECTIONS = 2
"""The accepted connections of each kind are never limited to fewer."""

PAGE_TASKS = 64
"""The tasks for readiness checks and for readers of the metrics."""

MAX_ACCEPTED_CONNECTIONS = 3_000
"""The accepted connections are never more, since each has a task on a thread of its own."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The bytes that each use may take, if the idle process needs ``idle`` bytes of ``limit``."""

    limit: int
    idle: int

    def is_short(self, used: Mapping[MemoryUse, int]) -> bool:
        """Return whether less is left than what is kept for answers."""
        return sum(used.values()) > self.room * REQUESTS_CEILING

    @property
    def room(self) -> int:
        """The bytes for all uses together."""
        margin = max(MIN_MARGIN_BYTES, round(self.limit * MARGIN_SHARE))
        return max(round(self.limit * MIN_ROOM_SHARE), self.limit - self.idle - margin)

    def allows(
        self, use: MemoryUse, count: int, used: Mapping[MemoryUse, int], ending: int = 0
    ) -> bool:
        """Return whether ``use`` may take ``count`` bytes more than it has of ``used``.

        ``ending`` bytes of those are about to be released. Requests may take them before, since
        other bytes are kept for answers.
        """
        shortage = self.shortage(use, count, used)
        match use:
            case MemoryUse.REQUESTS:
                return shortage <= ending and sum(used.values()) + count <= self.room
            case _:
                return shortage <= 0

    def shortage(self, use: MemoryUse, count: int, used: Mapping[MemoryUse, int]) -> float:
        """Return how many bytes have to be released before ``use`` may take ``count`` more."""
        total = sum(used.values()) + count
        match use:
            case MemoryUse.REQUESTS:
                own_excess = used[use] + count - self.room * REQUESTS_SHARE
                return max(own_excess, total - self.room * REQUESTS_CEILING)
            case _:
                return total - self.room


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections a gateway accepts from callers and gateways, and how many tasks run."""

    callers: int
    peers: int
    tasks: int


def plan_memory(capacity: HostCapacity, idle: int) -> MemoryPlan:
    """Return the plan for a host of which the idle process uses ``idle`` bytes."""
    return MemoryPlan(capacity.memory or DEFAULT_MEMORY_BYTES, idle)


@dataclass(frozen=True, slots=True)
class IdleMemory:
    """The bytes that the process needs without connections, as last measured.

    ``quiet`` is the measure of the last time when there were next to no connections, or the whole
    resident memory if that was less later. The bytes that connections account for may not be
    resident yet, so that ``now`` is never below ``quiet``.
    """

    quiet: int
    now: int

    def measure(self, resident: int, used: Mapping[MemoryUse, int]) -> "IdleMemory":
        """Return the measure for a process with ``resident`` bytes and these uses."""
        in_process = sum(count for use, count in used.items() if use is not MemoryUse.KERNEL)
        without_uses = max(0, resident - in_process)
        if in_process <= QUIET_BYTES:
            return IdleMemory(without_uses, without_uses)
        quiet = min(self.quiet, resident)
        return IdleMemory(quiet, max(quiet, without_uses))


def plan_connections(capacity: HostCapacity, descriptor_limit: int) -> ConnectionLimits:
    """Return the limits for a host; the system allows ``descriptor_limit`` open descriptors."""
    descriptors = min(capacity.descriptors or DEFAULT_DESCRIPTORS, descriptor_limit)
    files = min(MAX_FILE_DESCRIPTORS, round(descriptors * FILE_DESCRIPTORS_SHARE))
    others = max(0, descriptors - files - PROCESS_DESCRIPTORS)
    by_descriptors = int(others * CALLERS_DESCRIPTORS_SHARE) // DESCRIPTORS_PER_CALLER
    memory = capacity.memory or DEFAULT_MEMORY_BYTES
    by_memory = int(memory * CALLERS_SHARE) // (CALLER_CONNECTION_BYTES + CALLER_KERNEL_BYTES)
    accepted = min(by_descriptors, by_memory, MAX_ACCEPTED_CONNECTIONS)
    peers = max(MIN_CONNECTIONS, int(accepted * PEER_SHARE))
    callers = max(MIN_CONNECTIONS, accepted - peers)
    searchers_by_descriptors = max(MIN_CONNECTIONS, others - accepted * DESCRIPTORS_PER_CALLER)
    searchers_by_memory = int(memory * SEARCHERS_SHARE) // (
        SEARCHER_CONNECTION_BYTES + SEARCHER_KERNEL_BYTES
    )
    searchers = max(MIN_CONNECTIONS, min(searchers_by_descriptors, searchers_by_memory))
    return ConnectionLimits(callers, peers, callers + peers + searchers + PAGE_TASKS)

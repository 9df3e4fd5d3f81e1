"""The settings of a listener for callers, which all of its connections share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock

from ..._clock import Clock
from ..._ids import Millis
from ...request.gateway import Inbox, Reply, Request
from ...version.gateway import Limits
from ._header_names import HeaderNames
from ._holding import UNLIMITED_MEMORY, MemoryBudget

Handler = Callable[[Request, Inbox], Reply]
"""Serves one request and returns the reply.

The inbox reports which calls to searchers have finished, and whether the caller has closed its
connection.
"""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """The settings that all connections of one listener share.

    ``limits`` returns the size limits and timeouts in force. If ``is_closing`` returns ``True``,
    each reply announces the end of its connection. ``callers_are_gateways`` is set if the callers
    are other gateways. A request counts as received ``transit_time`` before it arrived, to allow
    for the time that the request and its reply spend between two gateways. The bytes that the
    connections hold are taken from ``memory``. ``receiving_turn`` lets one connection at a time
    receive a costly body: hundreds of tasks that do so at once would keep all others waiting.
    """

    handler: Handler
    header_names: HeaderNames
    clock: Clock
    limits: Callable[[], Limits]
    is_closing: Callable[[], bool]
    callers_are_gateways: bool = False
    transit_time: Millis = Millis(0.0)
    memory: MemoryBudget = UNLIMITED_MEMORY
    receiving_turn: Lock = field(default_factory=Lock, compare=False)

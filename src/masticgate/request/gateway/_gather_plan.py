"""Where the shards of a query are gathered: by this gateway, or in parts by others."""

from dataclasses import dataclass
from typing import Protocol

from ...version.gateway import Shards
from ._exchange import Part, Request
from ._parts import PartSender


class Permits(Protocol):
    """Bounds the queries whose shards a gateway gathers although others should."""

    def acquire(self) -> bool:
        """Take a permit for one query, until :meth:`release`; return ``False`` if there is none."""
        ...

    def release(self) -> None:
        """Return one permit."""
        ...

    def record_part(self, *, again: bool) -> None:
        """Record a part that is gathered here, ``again`` if its gatherer was lost on the way."""
        ...


@dataclass(frozen=True, slots=True)
class GatherPlan:
    """Where the shards of a query are gathered.

    ``here`` has the positions of those that this gateway sends the query to itself, and ``parts``
    those that other gateways gather. ``sender`` forwards parts; it may be ``None`` if there are
    none. A part that no gatherer accepts is gathered here if there is one of ``permits``.
    """

    here: tuple[int, ...]
    parts: tuple[Part, ...] = ()
    sender: PartSender | None = None
    permits: Permits | None = None


def plan_here(request: Request, shards: Shards) -> GatherPlan:
    """Return the plan to gather all shards here, or those of the part that ``request`` asks for."""
    if request.part is not None:
        return GatherPlan(request.part.positions)
    return GatherPlan(tuple(range(len(shards.services))))

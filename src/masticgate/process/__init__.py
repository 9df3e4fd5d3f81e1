"""Everything that lives as long as the process: members, queues, tickets, metrics, settings.

Only :mod:`masticgate.process.server`, which builds an entry host from its parts, opens sockets.
"""

from typing import TYPE_CHECKING, Any

from .._lazy import load_public

if TYPE_CHECKING:
    from ._public import *  # noqa: F403


def __getattr__(name: str) -> Any:
    return load_public(__name__, name)

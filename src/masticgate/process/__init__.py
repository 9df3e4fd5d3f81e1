"""What lives as long as the process: beliefs, queues, tickets, metrics, settings.

Nothing here opens a socket but :mod:`masticgate.process.server`, which puts a host together.
"""

from typing import TYPE_CHECKING, Any

from .._lazy import load_public

if TYPE_CHECKING:
    from ._public import *  # noqa: F403


def __getattr__(name: str) -> Any:
    return load_public(__name__, name)

"""Everything that lives as long as the process: members, queues, tickets, metrics, settings.

The public names of this package open no sockets. The class of an entry host, which does, is
in :mod:`masticgate.process.server`.
"""

from typing import TYPE_CHECKING, Any

from .._lazy import load_public

if TYPE_CHECKING:
    from ._public import *  # noqa: F403


def __getattr__(name: str) -> Any:
    return load_public(__name__, name)

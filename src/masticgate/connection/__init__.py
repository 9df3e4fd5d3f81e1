"""Everything that lives as long as one connection: sockets, codecs and the tasks that use them."""

from typing import TYPE_CHECKING, Any

from .._lazy import load_public

if TYPE_CHECKING:
    from ._public import *  # noqa: F403


def __getattr__(name: str) -> Any:
    return load_public(__name__, name)

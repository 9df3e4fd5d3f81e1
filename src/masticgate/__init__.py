"""A query tier over many sharded searchers, configured by one text that operators write."""

from ._lazy import load_public
from ._version import VERSION

# The gateway program loads this module before it can queue signals; typing is slow to load.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from ._public import *  # noqa: F403

__version__ = VERSION


def __getattr__(name: str) -> object:
    return load_public(__name__, name)

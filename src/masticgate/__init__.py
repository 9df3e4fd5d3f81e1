"""A query tier over many sharded searchers, configured by one text that operators write."""

import sys
from importlib import reload
from os.path import abspath, dirname, realpath

# The gateway program loads this module before it can queue signals; typing is slow to load.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from ._public import *  # noqa: F403

_folder = dirname(dirname(__file__))
_search_path = [entry and abspath(entry) for entry in sys.path]

if _folder in _search_path and realpath(_folder) != _folder:
    # The package was found by way of a link, which may name another installation at any moment: the
    # package is loaded once more, and then all other modules, from the one that it names now.
    sys.path[_search_path.index(_folder)] = realpath(_folder)
    reload(sys.modules[__name__])
else:
    from ._lazy import load_public
    from ._version import VERSION

    __version__ = VERSION

    def __getattr__(name: str) -> object:
        return load_public(__name__, name)

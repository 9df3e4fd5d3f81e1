"""Loads a package's public names on first use.

A gateway needs only a few modules of each package; importing the others as well would cost it 40 MB
of memory.
"""

from importlib import import_module


def load_public(package: str, name: str) -> object:
    """Return the public name ``name`` of ``package``.

    :raises AttributeError: the package has no such name.
    """
    if name.startswith("_"):
        raise AttributeError(f"module {package!r} has no attribute {name!r}")
    public = import_module("._public", package)
    try:
        return getattr(public, name)
    except AttributeError:
        raise AttributeError(f"module {package!r} has no attribute {name!r}") from None

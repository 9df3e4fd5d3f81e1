"""Configurations and index snapshots: code and state that last for one version of either.

The public names are loaded on first use, as :mod:`masticgate._lazy` describes.
"""

from typing import TYPE_CHECKING, Any

from .._lazy import load_public

if TYPE_CHECKING:
    from ._public import *  # noqa: F403


def __getattr__(name: str) -> Any:
    return load_public(__name__, name)

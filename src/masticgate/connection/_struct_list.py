"""A function that writes lists of Cap'n Proto structs."""

from collections.abc import Callable, Iterable
from typing import Any


def write_list(target: Any, items: Iterable[Any], write_item: Callable[[Any, Any], None]) -> None:
    """Write each of ``items`` to the struct with the same index in ``target``."""
    for index, item in enumerate(items):
        write_item(target[index], item)

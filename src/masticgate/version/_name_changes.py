"""Describes which named entries of a configuration are added and removed."""

from collections.abc import Iterator, Set


def describe_name_changes(kind: str, before: Set[str], after: Set[str]) -> Iterator[str]:
    """Yield a line for each name that is removed, and then for each that is added."""
    for name in sorted(before - after):
        yield f"{kind} {name} is removed"
    for name in sorted(after - before):
        yield f"{kind} {name} is added"

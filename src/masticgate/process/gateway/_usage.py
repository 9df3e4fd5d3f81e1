"""How much a process uses of the resources that are limited, and what to report of it when."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

NEAR_SHARE = 0.8
"""From this share of its limit on, the use of a resource counts as near the limit."""

CLEAR_SHARE = 0.75
"""Below this share of its limit, the use of a resource no longer counts as near the limit."""


class Resource(Enum):
    """A limited resource, as named in log lines."""

    MEMORY = "memory"
    ADDRESS_SPACE = "address_space"
    DESCRIPTORS = "descriptors"
    THREADS = "threads"


@dataclass(frozen=True, slots=True)
class Use:
    """How much of a resource is used, or ``None`` if unknown, and its limit, ``None`` if none."""

    used: int | None
    limit: int | None


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """What a process uses; memory and address space are in bytes.

    ``memory`` is the resident memory, and ``memory_peak`` its maximum since the process started.
    """

    memory: Use
    memory_peak: int | None
    address_space: Use
    descriptors: Use
    threads: Use

    def of(self, resource: Resource) -> Use:
        """Return the use of one resource."""
        match resource:
            case Resource.MEMORY:
                return self.memory
            case Resource.ADDRESS_SPACE:
                return self.address_space
            case Resource.DESCRIPTORS:
                return self.descriptors
            case Resource.THREADS:
                return self.threads

    def known_numbers(self) -> dict[str, int]:
        """Return all numbers that are known, by their names in log lines and metrics."""
        numbers = {
            "memory_bytes": self.memory.used,
            "memory_peak_bytes": self.memory_peak,
            "memory_limit_bytes": self.memory.limit,
            "descriptors": self.descriptors.used,
            "descriptors_limit": self.descriptors.limit,
            "threads": self.threads.used,
            "threads_limit": self.threads.limit,
        }
        if self.address_space.limit is not None:
            numbers["address_space_bytes"] = self.address_space.used
            numbers["address_space_limit_bytes"] = self.address_space.limit
        return {name: number for name, number in numbers.items() if number is not None}


@dataclass(frozen=True, slots=True)
class Crossing:
    """The use of ``resource`` came near its limit, or is no longer near it."""

    resource: Resource
    use: Use
    is_near: bool


class LimitWatch:
    """Tells when the use of a resource comes near its limit; only one task uses it."""

    def __init__(self) -> None:
        self.near: set[Resource] = set()

    def update(self, process: ProcessUse) -> Iterator[Crossing]:
        """Yield what has changed since the last call."""
        for resource in Resource:
            use = process.of(resource)
            is_near = self._is_near(resource, use)
            if is_near == (resource in self.near):
                continue
            if is_near:
                self.near.add(resource)
            else:
                self.near.discard(resource)
            yield Crossing(resource, use, is_near)

    def _is_near(self, resource: Resource, use: Use) -> bool:
        """Return whether a resource is near its limit; an unknown use is taken as unchanged."""
        if use.limit is None:
            return False
        if use.used is None:
            return resource in self.near
        share = CLEAR_SHARE if resource in self.near else NEAR_SHARE
        return use.used >= share * use.limit

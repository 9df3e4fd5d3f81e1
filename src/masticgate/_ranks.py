"""The ranks of work, which decide what is served first under load."""

from enum import IntEnum


class Rank(IntEnum):
    """How urgent a request is; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    BULK = 2

    @property
    def label(self) -> str:
        """The rank's name as callers and operators write it."""
        return self.name.lower()

    @classmethod
    def from_label(cls, label: str) -> "Rank":
        """Return the rank named ``label``.

        :raises KeyError: no rank has that name.
        """
        return cls[label.upper()]

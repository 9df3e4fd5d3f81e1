"""Typed access to the fields of decoded JSON and TOML."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class FieldError(Exception):
    """A field is missing or has an invalid value; the message names the field."""


@dataclass(frozen=True, slots=True)
class Fields:
    """The fields of one JSON object or TOML table; ``path`` names it in error messages."""

    path: str
    values: Mapping[str, Any]

    @classmethod
    def of(cls, path: str, value: Any) -> "Fields":
        """Return the fields of ``value``.

        :raises FieldError: ``value`` is not a table.
        """
        if not isinstance(value, dict):
            raise FieldError(f"{path}: must be a table")
        return cls(path, value)

    def text(self, name: str) -> str:
        """Return the field ``name``, which must be a non-empty string."""
        value = self.values.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, "a non-empty string")
        return value

    def integer(self, name: str) -> int:
        """Return the field ``name``, which must be an integer."""
        value = self.values.get(name)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self.error(name, "an integer")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return the field ``name``, which must be a number, or ``default`` if it is missing."""
        value = self.values.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self.error(name, "a number")
        return float(value)

    def table(self, name: str) -> "Fields":
        """Return the field ``name``, which must be a table."""
        return Fields.of(f"{self.path}.{name}", self.values.get(name))

    def tables(self, name: str) -> "list[Fields]":
        """Return the field ``name``, which must be a list of tables."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise self.error(name, "a list")
        return [Fields.of(f"{self.path}.{name}", item) for item in value]

    def text_list(self, name: str) -> list[str]:
        """Return the field ``name``, which must be a list of strings."""
        value = self.values.get(name)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise self.error(name, "a list of strings")
        return value

    def error(self, name: str, expected: str) -> FieldError:
        """Return an error which says that the field ``name`` must be ``expected``."""
        return FieldError(f"{self.path}.{name}: must be {expected}")

"""Reads typed fields of decoded JSON and TOML."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class FieldError(Exception):
    """A field is missing or has another type; the message names it."""


@dataclass(frozen=True, slots=True)
class Fields:
    """One table of fields; ``where`` names it in errors."""

    path: str
    values: Mapping[str, Any]

    @classmethod
    def of(cls, path: str, value: Any) -> "Fields":
        """Return ``value`` as a table.

        :raises FieldError: it is none.
        """
        if not isinstance(value, dict):
            raise FieldError(f"{path}: a table is needed")
        return cls(path, value)

    def text(self, name: str) -> str:
        """Return a string that is not empty."""
        value = self.values.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, "text")
        return value

    def integer(self, name: str) -> int:
        """Return a whole number."""
        value = self.values.get(name)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self.error(name, "a whole number")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self.values.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self.error(name, "a number")
        return float(value)

    def table(self, name: str) -> "Fields":
        """Return a table."""
        return Fields.of(f"{self.path}.{name}", self.values.get(name))

    def tables(self, name: str) -> "list[Fields]":
        """Return a list of tables."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise self.error(name, "a list")
        return [Fields.of(f"{self.path}.{name}", item) for item in value]

    def text_list(self, name: str) -> list[str]:
        """Return a list of strings."""
        value = self.values.get(name)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise self.error(name, "a list of texts")
        return value

    def error(self, name: str, needed: str) -> FieldError:
        """Return the error of one field."""
        return FieldError(f"{self.path}.{name}: {needed} is needed")

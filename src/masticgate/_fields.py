"""Typed and bounded access to the fields of decoded JSON and TOML, which others wrote."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from typing import Any

from ._nesting import count_values, find_structure, is_nested_deeper

MAX_TEXT_CHARACTERS = 1_000
MAX_NUMBER = 1e12
"""The largest number that a field may hold; in milliseconds, it is about 30 years."""

MAX_INTEGER = 2**53
"""The largest size or number of things that a field may hold; a float represents it exactly."""

MAX_COUNTER_DIGITS = 100
"""The most digits of a version, a revision or another number that others count up.

Their writers choose where they start and how far they step: nanoseconds exceed ``MAX_INTEGER``. The
bound keeps log lines and messages between gateways short.
"""

MAX_COUNTER = 10**MAX_COUNTER_DIGITS - 1

MAX_LEVELS = 64
"""The largest number of arrays and objects within one another in decoded JSON."""

MAX_VALUES = 500_000
"""The largest number of values in decoded JSON, which take up to about 100 bytes each.

It is more than twice that in a relayed catalogue of 22,000 searchers.
"""

SHORT_BYTES = 4_096
"""A value of at most this size is checked by its number of brackets alone if they are few."""

MAX_ERROR_CHARACTERS = 200
"""An error message quotes at most this much of a field that is invalid."""


class FieldError(Exception):
    """A field is missing or has an invalid value; the message names the field."""


def decode_json(data: bytes) -> Any:
    """Return the value that ``data`` encodes in UTF-8.

    :raises FieldError: ``data`` is not valid JSON, is nested deeper than ``MAX_LEVELS`` or has more
        than ``MAX_VALUES`` values.
    """
    _check_structure(data)
    try:
        return json.loads(data.decode())
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not readable as JSON: {str(error)[:MAX_ERROR_CHARACTERS]}") from error


def _check_structure(data: bytes) -> None:
    """Check the levels and the number of values before they are decoded.

    :raises FieldError: there are too many.
    """
    if len(data) <= SHORT_BYTES and data.count(b"[") + data.count(b"{") <= MAX_LEVELS:
        return
    structure = find_structure(data)
    if count_values(structure) > MAX_VALUES:
        raise FieldError(f"not readable as JSON: more than {MAX_VALUES} values")
    if is_nested_deeper(structure, MAX_LEVELS):
        raise FieldError(f"not readable as JSON: more than {MAX_LEVELS} levels, or not balanced")


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
        """Return the field ``name``, which must be a printable string of bounded length."""
        value = self.values.get(name)
        if not is_name(value):
            raise self.error(name, "a non-empty, printable string")
        return str(value)

    def integer(
        self,
        name: str,
        minimum: int = -MAX_INTEGER,
        maximum: int = MAX_INTEGER,
        default: int | None = None,
    ) -> int:
        """Return the field ``name``, or ``default`` if it is missing.

        It must be an integer within the bounds.
        """
        value = self.values.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise self.error(name, f"an integer from {minimum} to {maximum}")
        return value

    def counter(self, name: str, default: int | None = None) -> int:
        """Return the field ``name``, or ``default`` if it is missing.

        It must be an integer from 0 with at most ``MAX_COUNTER_DIGITS`` digits, such as a version.
        It is only compared with others of its kind, and need not be exact as a float.
        """
        value = self.values.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_COUNTER:
            raise self.error(name, f"an integer from 0 with at most {MAX_COUNTER_DIGITS} digits")
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """Return the field ``name``, or ``default`` if it is missing.

        It must be a finite number within the bounds.
        """
        value = self.values.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self.error(name, "a number")
        if not minimum <= value <= maximum or not isfinite(value):
            raise self.error(name, f"a number from {minimum:g} to {maximum:g}")
        return float(value)

    def table(self, name: str) -> "Fields":
        """Return the field ``name``, which must be a table."""
        return Fields.of(f"{self.path}.{name}", self.values.get(name))

    def tables(self, name: str) -> "list[Fields]":
        """Return the field ``name``, which must be a list of tables."""
        return [Fields.of(f"{self.path}.{name}", item) for item in self.items(name)]

    def items(self, name: str) -> list[Any]:
        """Return the field ``name``, which must be a list."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise self.error(name, "a list")
        return value

    def text_list(self, name: str) -> list[str]:
        """Return the field ``name``, which must be a list of printable strings."""
        value = self.values.get(name)
        if not isinstance(value, list) or not all(is_name(item) for item in value):
            raise self.error(name, "a list of non-empty, printable strings")
        return value

    def error(self, name: str, expected: str) -> FieldError:
        """Return an error which says that the field ``name`` must be ``expected``."""
        return FieldError(f"{self.path}.{name}: must be {expected}")


def is_name(value: object) -> bool:
    """Return whether ``value`` is a non-empty string of bounded length that can be printed.

    Line breaks, control characters and lone surrogates cannot.
    """
    return isinstance(value, str) and value.isprintable() and 0 < len(value) <= MAX_TEXT_CHARACTERS


def is_header_text(value: object) -> bool:
    """Return whether ``value`` is a name that the value of an HTTP header can hold."""
    return is_name(value) and str(value).isascii()

"""The positions of some shards among all shards of a route, as one hexadecimal number."""

import re
from collections.abc import Iterable

MAX_SHARDS = 65_536
"""The maximum number of shards of a route."""

HEXADECIMAL = re.compile(rb"[0-9a-f]{1,%d}" % (MAX_SHARDS // 4))


def encode_positions(positions: Iterable[int]) -> bytes:
    """Return the number whose bits at ``positions`` are set; the lowest bit has position 0."""
    return b"%x" % sum(1 << position for position in positions)


def decode_positions(value: bytes) -> tuple[int, ...] | None:
    """Return the positions in ascending order, or ``None`` if ``value`` is not valid."""
    if not HEXADECIMAL.fullmatch(value):
        return None
    bits = bin(int(value, 16))[:1:-1]
    return tuple(position for position, bit in enumerate(bits) if bit == "1")

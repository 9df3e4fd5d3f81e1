"""The query of a request that one gateway sends to another."""

from urllib.parse import parse_qs

MAX_FIELDS = 64
"""A query of more fields counts as empty; a gateway sends ten at most.

The thousands of fields that fit into a head take up to 1 MB while they are decoded, which no budget
accounts for.
"""


def parse_query(target: bytes) -> dict[str, list[str]]:
    """Return the values of each field in the query of a request target."""
    query = target.partition(b"?")[2].decode("latin-1")
    try:
        return parse_qs(query, max_num_fields=MAX_FIELDS)
    except ValueError:
        return {}

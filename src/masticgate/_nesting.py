"""The structure of an encoded JSON value, found without recursion and before it is decoded.

The decoder of the standard library recurses in C, and how far it may differs between releases of
Python. A thread with a small stack must not depend on that.
"""

SQUARE = bytes.maketrans(b"{}", b"[]")
NOT_STRUCTURE = bytes(set(range(256)) - set(b'[]{},"'))


def find_structure(data: bytes) -> bytes:
    """Return the brackets and commas of a JSON value in UTF-8 that are not within its strings.

    All brackets in the result are square.
    """
    if b"\\" in data:
        # The pairs go first, since a backslash in a pair does not escape the quote that follows.
        data = data.replace(rb"\\", b"").replace(rb"\"", b"")
    # Two quotes in a row leave what follows inside or outside a string, as it was.
    structure = data.translate(SQUARE, NOT_STRUCTURE).replace(b'""', b"")
    return b"".join(structure.split(b'"')[::2])


def count_values(structure: bytes) -> int:
    """Return an upper bound on the number of values, without the keys of objects."""
    return 1 + structure.count(b",") + structure.count(b"[")


def is_nested_deeper(structure: bytes, levels: int) -> bool:
    """Return whether a value with this structure has more than ``levels`` levels.

    Return ``True`` as well if its brackets are not balanced, so that it is no value.
    """
    brackets = structure.replace(b",", b"")
    for _ in range(levels):
        if not brackets:
            return False
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)

"""Reads the heads of messages."""


def head_value(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, or ``b""`` if there is none; ``name`` is in lower case."""
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""

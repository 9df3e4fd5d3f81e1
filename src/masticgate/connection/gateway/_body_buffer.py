"""Collects the body of one message from the pieces in which it arrives."""

MAX_PIECES_BYTES = 16_384
"""Larger bodies are collected in one block, since many pieces would fragment the heap."""


MAX_PIECES = 16
"""So are bodies of more pieces: one of two bytes takes 56 bytes of memory, with its place."""


class BodyBuffer:
    """The pieces of a small body, or one block for a larger one; ``size`` is the length so far."""

    __slots__ = ("block", "pieces", "size")

    def __init__(self) -> None:
        self.size = 0
        self.pieces: list[bytes] = []
        self.block: bytearray | None = None

    def append(self, piece: bytes) -> None:
        """Append ``piece``."""
        self.size += len(piece)
        if self.block is not None:
            self.block += piece
            return
        self.pieces.append(piece)
        if self.size > MAX_PIECES_BYTES or len(self.pieces) > MAX_PIECES:
            self.block = bytearray().join(self.pieces)
            self.pieces.clear()

    def join(self) -> bytes:
        """Return the body so far."""
        return b"".join(self.pieces) if self.block is None else bytes(self.block)

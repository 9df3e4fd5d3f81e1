"""Rendezvous hashing: an order of names that differs for each key, and is the same everywhere."""

from zlib import crc32

MASK = 0xFFFF_FFFF


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``, from 0 to 2**32 - 1.

    CRC-32 is linear, so that its order of the names would be similar for many keys. The bits are
    therefore mixed by multiplications (the finalizer of MurmurHash3).
    """
    value = crc32(name.encode("utf-8", "replace"), crc32(key.encode("utf-8", "replace")))
    value = (value ^ value >> 16) * 0x85EB_CA6B & MASK
    value = (value ^ value >> 13) * 0xC2B2_AE35 & MASK
    return value ^ value >> 16

"""Reads from the system what this process uses of memory, descriptors and threads."""

import errno
import os
import resource
import sys
import threading
from io import FileIO

from ._settings import HostCapacity
from ._usage import ProcessUse, Use

STATM_FILE = "/proc/self/statm"
RESIDENT_FIELD = 1
"""The field of the resident memory, in pages."""

STATUS_FILE = "/proc/self/status"
DESCRIPTOR_FOLDER = "/proc/self/fd"
STATUS_BYTES = 8_192
"""More than the length of the status file."""

BYTES_PER_KIBIBYTE = 1_024


def read_resident_bytes() -> int | None:
    """Return the resident bytes of this process, or ``None`` if they cannot be read."""
    try:
        with open(STATM_FILE, "rb") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()


def read_descriptor_limit() -> int:
    """Return how many descriptors the system lets this process open."""
    limit = _soft_limit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit is None else limit


class ProcessFiles:
    """Reads the use of this process's resources, and its limits.

    The status file stays open, so that it can still be read when all descriptors are in use.
    """

    def __init__(self) -> None:
        self.status = _open_status()
        self.address_space_limit = _soft_limit(resource.RLIMIT_AS)
        self.descriptor_limit = _soft_limit(resource.RLIMIT_NOFILE)
        self.thread_limit = _soft_limit(resource.RLIMIT_NPROC)

    def read(self, capacity: HostCapacity) -> ProcessUse:
        """Return what the process uses now, beside its limits and those of ``capacity``.

        What the system does not tell is unknown, but for the peak of the memory and the threads.
        """
        status = self._read_status()
        descriptor_limits = (capacity.descriptors, self.descriptor_limit)
        peak = _find_kibibytes(status, b"VmHWM:")
        threads = _find_number(status, b"Threads:")
        return ProcessUse(
            memory=Use(_find_kibibytes(status, b"VmRSS:"), capacity.memory),
            memory_peak=_peak_since_fork() if peak is None else peak,
            address_space=Use(_find_kibibytes(status, b"VmSize:"), self.address_space_limit),
            descriptors=Use(
                self._count_descriptors(),
                min(limit for limit in descriptor_limits if limit is not None),
            ),
            threads=Use(
                threading.active_count() if threads is None else threads, self.thread_limit
            ),
        )

    def _read_status(self) -> bytes:
        if self.status is None:
            return b""
        try:
            return os.pread(self.status.fileno(), STATUS_BYTES, 0)
        except OSError:
            return b""

    def _count_descriptors(self) -> int | None:
        try:
            # Since Linux 6.2, the size of this folder is the number of its entries.
            return os.stat(DESCRIPTOR_FOLDER).st_size or len(os.listdir(DESCRIPTOR_FOLDER))
        except OSError as error:
            return self.descriptor_limit if error.errno == errno.EMFILE else None


def _open_status() -> FileIO | None:
    try:
        return FileIO(STATUS_FILE)
    except OSError:
        return None


def _soft_limit(kind: int) -> int | None:
    soft, _ = resource.getrlimit(kind)
    return None if soft == resource.RLIM_INFINITY else soft


def _peak_since_fork() -> int:
    """Return the peak of the resident memory, which may be that of the parent process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIBIBYTE


def _find_kibibytes(status: bytes, name: bytes) -> int | None:
    number = _find_number(status, name)
    return None if number is None else number * BYTES_PER_KIBIBYTE


def _find_number(status: bytes, name: bytes) -> int | None:
    """Return the number behind ``name`` in a status file, or ``None`` if it has none."""
    _, found, rest = status.partition(b"\n" + name)
    words = rest[:40].split(None, 1)
    return int(words[0]) if found and words and words[0].isdigit() else None

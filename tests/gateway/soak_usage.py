"""What a gateway process uses of its machine, beside the limits that its settings state."""

from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

MEGABYTE = 1_000_000
LISTENING = "0A"


def unread_bytes() -> dict[str, int]:
    """Return the bytes that were received and not yet read, by the IP address of their receiver."""
    unread: dict[str, int] = defaultdict(int)
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != LISTENING:
            digits = fields[1].partition(":")[0]
            ip = ".".join(str(int(digits[at : at + 2], 16)) for at in (6, 4, 2, 0))
            unread[ip] += int(fields[4].partition(":")[2], 16)
    return unread


@dataclass
class ProcessUsage:
    """The peaks of one process, in bytes and counts; ``memory_bytes`` includes unread bytes."""

    pid: int
    memory_limit_bytes: int
    descriptor_limit: int
    memory_bytes: int = 0
    threads: int = 0
    descriptors: int = 0

    def sample(self, unread: int = 0) -> None:
        """Raise the peaks to what the process uses now; leave them if it has ended."""
        with suppress(OSError, KeyError):
            folder = Path(f"/proc/{self.pid}")
            lines = (folder / "status").read_text().splitlines()
            status = dict(line.split(":", 1) for line in lines if ":" in line)
            resident = int(status["VmRSS"].split()[0]) * 1024
            highest = int(status["VmHWM"].split()[0]) * 1024
            self.memory_bytes = max(self.memory_bytes, highest, resident + unread)
            self.threads = max(self.threads, int(status["Threads"]))
            self.descriptors = max(self.descriptors, len([*(folder / "fd").iterdir()]))

    @property
    def exceeds_memory(self) -> bool:
        return self.memory_bytes > self.memory_limit_bytes

    def __str__(self) -> str:
        return (
            f"{self.memory_bytes / MEGABYTE:.0f} MB of {self.memory_limit_bytes / MEGABYTE:.0f}, "
            f"{self.descriptors} descriptors of {self.descriptor_limit}, {self.threads} threads"
        )

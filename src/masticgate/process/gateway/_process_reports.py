"""What the gateways tell one another of their processes, in their heartbeats."""

import re
from dataclasses import dataclass

from ..._ids import Millis
from ._usage import ProcessUse, Use

BYTES_PER_KIBIBYTE = 1_024
MAX_REPORT_LENGTH = 120
"""A longer report is invalid."""

REPORT = re.compile(r"([0-9]{1,16})\.([01])" + r"\.([0-9]{0,13})" * 7)
"""The start of the process, whether it stops, and its use of memory, descriptors and threads."""


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """One process of a gateway, identified by its start in milliseconds of the wall clock.

    Its use does not include the address space.
    """

    started_wall: int
    is_stopping: bool
    use: ProcessUse


@dataclass(frozen=True, slots=True)
class EndedProcess:
    """A process that ended, by its last report, which was received at ``heard_at``."""

    report: ProcessReport
    heard_at: Millis

    def log_fields(self, now: Millis) -> dict[str, object]:
        """Return what a log line says of the process."""
        return {
            "started_wall_ms": self.report.started_wall,
            "heard_ms_ago": round(now - self.heard_at),
            "stopping": self.report.is_stopping,
            **self.report.use.known_numbers(),
        }


def encode_report(report: ProcessReport) -> str:
    """Return the text of a report, which needs no quoting in a query; unknown numbers are empty."""
    use = report.use
    memory = (use.memory.used, use.memory_peak, use.memory.limit)
    kibibytes = [None if number is None else number // BYTES_PER_KIBIBYTE for number in memory]
    counts = (use.descriptors.used, use.descriptors.limit, use.threads.used, use.threads.limit)
    numbers = ["" if number is None else str(number) for number in (*kibibytes, *counts)]
    return ".".join([str(report.started_wall), str(int(report.is_stopping)), *numbers])


def decode_report(text: object) -> ProcessReport | None:
    """Return the report that a text states, or ``None`` if it states none."""
    if not isinstance(text, str) or len(text) > MAX_REPORT_LENGTH:
        return None
    found = REPORT.fullmatch(text)
    if found is None:
        return None
    started, stopping, *numbers = found.groups()
    used, peak, limit, *counts = [int(number) if number else None for number in numbers]
    use = ProcessUse(
        memory=Use(_to_bytes(used), _to_bytes(limit)),
        memory_peak=_to_bytes(peak),
        address_space=Use(None, None),
        descriptors=Use(counts[0], counts[1]),
        threads=Use(counts[2], counts[3]),
    )
    return ProcessReport(int(started), stopping == "1", use)


def _to_bytes(kibibytes: int | None) -> int | None:
    return None if kibibytes is None else kibibytes * BYTES_PER_KIBIBYTE


def encode_ended(ended: EndedProcess | None, now: Millis) -> list[object] | None:
    """Return what a reply to a heartbeat says of a process that ended."""
    if ended is None:
        return None
    return [encode_report(ended.report), round(now - ended.heard_at)]


def decode_ended(value: object, now: Millis) -> EndedProcess | None:
    """Return the ended process that a reply to a heartbeat states, if any."""
    match value:
        case [text, int(heard_ms_ago)] if (report := decode_report(text)) is not None:
            if 0 <= heard_ms_ago < 10**9:
                return EndedProcess(report, Millis(now - heard_ms_ago))
    return None

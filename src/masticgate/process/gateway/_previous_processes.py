"""What the gateways know of processes that ended, since no host keeps anything of its own."""

from dataclasses import dataclass

from ..._ids import Address, HostId, Millis
from ._membership import MAX_NAME_LENGTH
from ._process_reports import EndedProcess, ProcessReport

REMEMBERED_FOR = Millis(600_000.0)
"""A host that has been silent for this long is forgotten."""

MAX_REMEMBERED_HOSTS = 4_000
"""Beyond this number, the host that has been silent for the longest time is forgotten."""

ANSWER_WAIT = Millis(5_000.0)
"""How long a starting gateway waits for all seeds to say what they know of its host."""


@dataclass(frozen=True, slots=True)
class HostProcesses:
    """The latest report of a host's process, and the process before it, if known."""

    latest: EndedProcess
    before: EndedProcess | None


class ProcessHistory:
    """The last processes of each host, as a seed hears of them; a lock of its user guards it.

    The hosts are in the order in which they were last heard of.
    """

    def __init__(self) -> None:
        self.hosts: dict[HostId, HostProcesses] = {}

    def record(self, host: HostId, report: ProcessReport, now: Millis) -> EndedProcess | None:
        """Record a report; return the process before if this is the first report of a new one.

        A late report of the process before is ignored, and so is one of a host whose name is longer
        than a seed keeps.
        """
        if len(host) > MAX_NAME_LENGTH:
            return None
        self._forget_silent(now)
        known = self.hosts.pop(host, None)
        latest = EndedProcess(report, now)
        ended = None
        if known is None:
            known = HostProcesses(latest, None)
        elif _is_same(known.latest, report):
            known = HostProcesses(latest, known.before)
        elif known.before is None or not _is_same(known.before, report):
            ended = known.latest
            known = HostProcesses(latest, ended)
        self.hosts[host] = known
        if len(self.hosts) > MAX_REMEMBERED_HOSTS:
            del self.hosts[next(iter(self.hosts))]
        return ended

    def find_before(self, host: HostId) -> EndedProcess | None:
        """Return the process before the present one of a host, if it is known."""
        known = self.hosts.get(host)
        return None if known is None else known.before

    def _forget_silent(self, now: Millis) -> None:
        while self.hosts:
            host = next(iter(self.hosts))
            if now - self.hosts[host].latest.heard_at <= REMEMBERED_FOR:
                return
            del self.hosts[host]


def _is_same(known: EndedProcess, report: ProcessReport) -> bool:
    return known.report.started_wall == report.started_wall


@dataclass(frozen=True, slots=True)
class PreviousEnd:
    """What the ``answered`` seeds that were heard know of this host's process before."""

    ended: EndedProcess | None
    answered: int

    def log_fields(self, now: Millis) -> dict[str, object]:
        """Return the fields of a log line that state this."""
        known = self.ended is not None
        fields = self.ended.log_fields(now) if self.ended is not None else {}
        return {"known": known, "seeds_answered": self.answered, **fields}


class PreviousEndQuestion:
    """Asks the seeds how this host's process before ended; a lock of its user guards it."""

    def __init__(self, now: Millis) -> None:
        self.deadline = Millis(now + ANSWER_WAIT)
        self.answers: dict[Address, EndedProcess | None] = {}
        self.is_open = True

    def record(self, seed: Address, answer: EndedProcess | None) -> None:
        """Record what a seed knows."""
        self.answers[seed] = answer

    def conclude(self, seeds: set[Address], now: Millis) -> PreviousEnd | None:
        """Return the answer once: when all ``seeds`` have answered, or at the deadline.

        It is that of the seed which heard of the process last.
        """
        if not self.is_open or (now < self.deadline and not seeds <= self.answers.keys()):
            return None
        self.is_open = False
        known = [ended for ended in self.answers.values() if ended is not None]
        latest = max(known, key=lambda ended: ended.heard_at, default=None)
        return PreviousEnd(latest, len(self.answers))

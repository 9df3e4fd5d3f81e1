"""Reports what this process uses of its limited resources, in log lines and metrics."""

from collections.abc import Callable
from math import inf, nan

from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._process_files import ProcessFiles
from ._settings import HostCapacity
from ._usage import Crossing, LimitWatch, ProcessUse, Use


class ProcessWatch:
    """Watches what this process uses; only one task calls :meth:`update`.

    ``describe_work`` returns numbers on the work in progress, for log lines. ``use`` is the latest
    reading.
    """

    def __init__(
        self,
        capacity: HostCapacity,
        log: EventLog,
        metrics: Metrics,
        describe_work: Callable[[], dict[str, int]],
    ) -> None:
        self.log = log
        self.metrics = metrics
        self.describe_work = describe_work
        self.files = ProcessFiles()
        self.limit_watch = LimitWatch()
        self.use = self.files.read(capacity)

    def read_numbers(self, capacity: HostCapacity) -> dict[str, int]:
        """Read what the process uses now, and return the numbers for a log line."""
        self.use = self.files.read(capacity)
        return self.use.known_numbers()

    def update(self, capacity: HostCapacity) -> None:
        """Read what the process uses now, set the gauges, and log what comes near a limit."""
        self.use = self.files.read(capacity)
        for crossing in self.limit_watch.update(self.use):
            self._log_crossing(crossing, self.use)
        self._set_gauges(self.use)

    def _log_crossing(self, crossing: Crossing, use: ProcessUse) -> None:
        self.log.write(
            LogEvent.LIMIT_NEAR if crossing.is_near else LogEvent.LIMIT_CLEARED,
            resource=crossing.resource.value,
            used=crossing.use.used,
            limit=crossing.use.limit,
            **self.describe_work(),
            **use.known_numbers(),
        )
        self.log.wake()

    def _set_gauges(self, use: ProcessUse) -> None:
        metrics = self.metrics
        metrics.set_gauge("memory_bytes", _used(use.memory))
        metrics.set_gauge("memory_peak_bytes", _used(Use(use.memory_peak, None)))
        metrics.set_gauge("memory_limit_bytes", _limit(use.memory))
        metrics.set_gauge("address_space_bytes", _used(use.address_space))
        metrics.set_gauge("address_space_limit_bytes", _limit(use.address_space))
        metrics.set_gauge("descriptors", _used(use.descriptors))
        metrics.set_gauge("descriptors_limit", _limit(use.descriptors))
        metrics.set_gauge("threads", _used(use.threads))
        metrics.set_gauge("threads_limit", _limit(use.threads))
        metrics.set_gauge("limits_near", len(self.limit_watch.near))


def _used(use: Use) -> float:
    """Return the use for a gauge, in which an unknown one is not a number."""
    return nan if use.used is None else use.used


def _limit(use: Use) -> float:
    """Return the limit for a gauge, in which a missing one is infinite."""
    return inf if use.limit is None else use.limit

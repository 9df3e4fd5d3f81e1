"""Records the steps of the start of this gateway, and refuses what needs a later one."""

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import Millis
from ...request.gateway import Refused
from ._metrics import Metrics
from .startup import StartupStep, StartupTimes

RETRY_AFTER = {
    StartupStep.CONFIGURATION: Millis(300.0),
    StartupStep.LISTINGS: Millis(100.0),
    StartupStep.GATHERERS: Millis(100.0),
}
"""The time after which a gateway may serve a request that needs a step."""


class StartupProgress:
    """The steps that this gateway has reached, with a gauge for each."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.times = StartupTimes(clock.now())

    def record(self, step: StartupStep) -> None:
        """Record that this gateway has reached a step."""
        took = self.times.record(step, self.clock.now())
        if took is None:
            return
        match step:
            case StartupStep.CONFIGURATION:
                self.metrics.set_gauge("startup_configuration_ms", round(took))
            case StartupStep.LISTINGS:
                self.metrics.set_gauge("startup_listings_ms", round(took))
            case StartupStep.GATHERERS:
                self.metrics.set_gauge("startup_gatherers_ms", round(took))
            case StartupStep.FIRST_ANSWER:
                self.metrics.set_gauge("startup_first_answer_ms", round(took))

    def has_reached(self, step: StartupStep) -> bool:
        """Return whether this gateway has reached a step."""
        return step in self.times.reached

    def refuse(self, step: StartupStep) -> Refused:
        """Return the refusal of a request that this gateway serves once it has reached ``step``."""
        failure = NotRun(Reason.NO_CONFIGURATION, Step.ROUTE, detail=f"waits for {step.value}")
        return Refused(503, failure, RETRY_AFTER[step])

    def refuse_for_lack_of_gatherers(self) -> Refused:
        """Return the refusal of a query that is one too many to be gathered here."""
        failure = NotRun(Reason.OVERLOAD, Step.FORWARD, detail="no gatherer is available")
        return Refused(503, failure, RETRY_AFTER[StartupStep.GATHERERS])

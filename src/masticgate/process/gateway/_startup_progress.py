"""Records the steps of the start of this gateway, and refuses what needs a later one."""

import random

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import Millis
from ...request.gateway import Refused
from ._metrics import Metrics
from .startup import StartupStep, StartupTimes, spread_wait

NO_GATHERER_RETRY_AFTER = Millis(100.0)
"""The time after which a gateway may know of another gatherer, or gathers fewer queries itself."""


class StartupProgress:
    """The steps that this gateway has reached, with a gauge for each."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random()
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
        return Refused(503, failure, self._retry_after(step))

    def refuse_for_lack_of_gatherers(self, *, has_seeds: bool) -> Refused:
        """Return the refusal of a query that is one too many to be gathered here.

        ``has_seeds`` says whether there are seeds, which name gatherers soon after the start.
        """
        failure = NotRun(Reason.OVERLOAD, Step.FORWARD, detail="no gatherer is available")
        if has_seeds and self.times.is_starting(self.clock.now()):
            return Refused(503, failure, self._retry_after(StartupStep.GATHERERS))
        return Refused(503, failure, spread_wait(NO_GATHERER_RETRY_AFTER, self.random.random()))

    def _retry_after(self, step: StartupStep) -> Millis:
        return self.times.retry_after(step, self.clock.now(), self.random.random())

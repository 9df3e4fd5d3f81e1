"""The host as the owner of services.

The owner of a service queues all its work and sends it to the service's searchers. The work comes
from the entry hosts, which are the hosts that received the callers' requests.
"""

from collections.abc import Callable

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import Millis, ServiceId
from ..request import (
    Ask,
    Book,
    BookingOutcome,
    BookReply,
    Cancel,
    Reply,
    ServicePart,
    ServiceResult,
)
from ..version import Configuration
from ._booking_log import BookingLog
from ._pools import ServicePools
from ._service_pool import ServicePool
from ._versions import VersionStore
from ._work import BookingWork, SearchWork, Work

SendReply = Callable[[Reply | BookReply], object]


class Owner:
    """Queues searches and bookings for the services that this host owns.

    They come from other hosts and from requests that this host itself received.
    """

    def __init__(
        self,
        pools: ServicePools,
        versions: VersionStore,
        clock: Clock,
        count_hosts: Callable[[], int],
    ) -> None:
        self.pools = pools
        self.versions = versions
        self.clock = clock
        self.count_hosts = count_hosts
        self.stopping = False
        self.bookings = BookingLog(clock)

    def submit_search(self, ask: Ask, send_reply: SendReply) -> None:
        """Queue each part of a search; the reply to each part is passed to ``send_reply``."""
        for part in ask.parts:
            self._submit_part(ask, part, send_reply)

    def submit_booking(self, book: Book, send_reply: SendReply) -> None:
        """Queue one attempt of a booking; its outcome is passed to ``send_reply``.

        A second copy of the same message is ignored, since the outcome of the first copy holds
        for both.
        """
        if not self.bookings.record_attempt(book.ticket, book.attempt):
            return

        def deliver(outcome: BookingOutcome) -> None:
            send_reply(BookReply(book.query, outcome))

        work = BookingWork(
            book.query,
            book.service,
            book.ticket,
            book.attempt,
            book.rank,
            Millis(self.clock.now() + book.remaining),
            book.payload,
            deliver,
        )
        self._submit(work)

    def cancel(self, cancel: Cancel) -> None:
        """Cancel the work of a query; a booking that was sent to a searcher continues."""
        for pool in self.pools.list_pools():
            pool.cancel(cancel.query)

    def _submit_part(self, ask: Ask, part: ServicePart, send_reply: SendReply) -> None:
        def deliver(result: ServiceResult) -> None:
            send_reply(Reply(ask.query, part.service, result))

        work = SearchWork(
            ask.query,
            part.service,
            part.shards,
            ask.snapshot,
            ask.rank,
            Millis(self.clock.now() + ask.remaining),
            ask.admission_number,
            ask.text,
            deliver,
        )
        self._submit(work)

    def _submit(self, work: Work) -> None:
        """Queue ``work`` in the pool of its service, or deliver the reason why it is refused."""
        pool = self._find_pool(work.service)
        refusal = pool if isinstance(pool, NotRun) else pool.submit(work)
        if refusal is not None:
            work.deliver(refusal)

    def _find_pool(self, name: ServiceId) -> ServicePool | NotRun:
        configuration = self.versions.configuration
        if self.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.QUEUE, peer=name)
        if configuration is None:
            return NotRun(Reason.NO_CONFIGURATION, Step.QUEUE, peer=name)
        return self._find_configured_pool(configuration, name)

    def _find_configured_pool(
        self, configuration: Configuration, name: ServiceId
    ) -> ServicePool | NotRun:
        service = configuration.services.get(name)
        if service is None:
            return NotRun(Reason.UNKNOWN_SERVICE, Step.QUEUE, peer=name)
        if configuration.is_leaving(service):
            return NotRun(Reason.DEPARTMENT_LEFT, Step.QUEUE, peer=name)
        return self.pools.get(configuration, service, self.count_hosts())

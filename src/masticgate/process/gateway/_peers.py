"""The state of the other gateways: heartbeats, the gatherers, and the relays of the catalogue.

To gather a part of a query is to send it to one searcher of each of some shards and to merge the
answers. Each gateway sends heartbeats to the seeds, which are the few gateways that its settings
name. The seeds name the gatherers, to which all gateways forward parts of their queries.
"""

from collections.abc import Callable
from threading import Event, Lock
from urllib.parse import parse_qs

from ..._clock import Clock
from ..._fields import is_name
from ..._ids import Address, FailureDomainId, HostId, Millis
from ...request.gateway import LocalPage, Request
from ...version.gateway import RouteTable
from ._fleet import Fleet
from ._gatherers import Gatherer, Member, choose_gatherers
from ._heartbeat_codec import (
    MAX_NAMED_GATHERERS,
    AnsweredPrevious,
    HeartbeatReply,
    SentHeartbeat,
    decode_heartbeat,
    encode_reply,
)
from ._log import EventLog, LogEvent
from ._membership import HEARTBEAT_INTERVAL, Membership, heartbeat_interval
from ._naming import GatherAtPeers, GathererNames, GatherHere, Gathering
from ._previous_processes import PreviousEndQuestion, ProcessHistory
from ._process_reports import ProcessReport, decode_report
from ._seed_exchange import SeedExchange
from ._settings import GatewaySettings
from ._shares import GatewayShares
from ._slow_reports import SlowReports
from ._supervisor import Supervisor

NAMING_DELAY = Millis(1_500.0)
"""A starting seed names no gatherers before it can have heard from every gateway."""

WARM_UP_DELAY = Millis(4_000.0)
"""How long a starting gateway waits for the names of the gatherers before it warms up connections.

To warm up is to open a connection to each searcher of a shard before there is a request for it.
"""

MIN_MEMBERS_TO_RELAY = 13
"""With at least this many gateways, the seeds read the platform's catalogue for the others.

The catalogue is the configuration and the listings of the searchers.
"""

MAX_LOGGED_CHARACTERS = 100
"""A log line quotes at most this much of a name that is invalid."""


class Peers:
    """The state of the other gateways, as far as this gateway knows it.

    ``membership`` holds the heartbeats that this gateway receives if it is a seed, and ``names``
    the gatherers that the seeds name. ``relay_domains`` maps each seed that relays the platform's
    catalogue to its failure domain. ``members`` is the number of running gateways, and
    ``heard_seeds`` are the seeds to which heartbeats are sent. ``report_process`` returns what they
    say of this process, and the next ones are sent at once when ``stopping`` is set.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        clock: Clock,
        log: EventLog,
        current_table: Callable[[], RouteTable | None],
        is_ready: Callable[[], bool],
        is_platform_reachable: Callable[[], bool],
        report_process: Callable[[], ProcessReport],
        stopping: Event,
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.clock = clock
        self.log = log
        self.current_table = current_table
        self.is_ready = is_ready
        self.is_platform_reachable = is_platform_reachable
        self.report_process = report_process
        self.stopping = stopping
        self.lock = Lock()
        self.started_at = clock.now()
        self.membership = Membership()
        self.names = GathererNames(fleet, log)
        self.slow_reports = SlowReports(fleet)
        self.relay_domains: dict[Address, FailureDomainId] = {}
        self.members = 1
        self.gathering: Gathering = GatherHere()
        self.heard_seeds: set[Address] = set()
        self.processes = ProcessHistory()
        self.previous_end = PreviousEndQuestion(clock.now())

    def start(self, supervisor: Supervisor) -> None:
        """Start a heartbeat task for each seed except this gateway."""
        self.apply_settings(self.settings, supervisor)

    def apply_settings(self, settings: GatewaySettings, supervisor: Supervisor) -> None:
        """Apply changed settings: start a heartbeat task for each seed that has none.

        The task of a seed that is no longer one ends by itself.
        """
        self.settings = settings
        for seed in settings.seeds:
            with self.lock:
                is_new = seed != settings.peer_address and seed not in self.heard_seeds
                if is_new:
                    self.heard_seeds.add(seed)
            if is_new:
                supervisor.start(SeedExchange(seed, self, self.clock, self.stopping).run)

    def handle_heartbeat(self, request: Request) -> LocalPage:
        """Record a heartbeat, and return this gateway's state and the number of gateways.

        The reply names the gatherers, unless the heartbeat says that its sender knows them.
        """
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        heartbeat = decode_heartbeat(query, self.clock.now())
        host = HostId(query.get("host", [""])[0])
        self._record_process(host, query)
        own_address = self.settings.peer_address or Address("")
        with self.lock:
            recorded = is_name(host) and self.membership.record(host, heartbeat)
            members = self.membership.count(heartbeat.received_at)
            previous = self.processes.find_before(host) if "previous" in query else None
        if not recorded:
            self.log.write(LogEvent.HEARTBEAT_IGNORED, peer=host[:MAX_LOGGED_CHARACTERS])
        reply = encode_reply(
            self.settings.domain,
            is_ready=self.is_ready(),
            is_relay=self.is_ready() and self.is_platform_reachable(),
            members=members,
            gatherers=self.names.named_by(own_address),
            known_digest=query.get("known", [""])[0],
            previous=AnsweredPrevious(previous) if "previous" in query else None,
            slow=self.slow_reports.exchange(query["slow"][0]) if "slow" in query else None,
            now=self.clock.now(),
        )
        return LocalPage(200, reply)

    def _record_process(self, host: HostId, query: dict[str, list[str]]) -> None:
        """Record what a heartbeat says of its process; log one that came after an unknown end."""
        report = decode_report(query.get("process", [""])[0])
        if report is None:
            return
        now = self.clock.now()
        with self.lock:
            ended = self.processes.record(host, report, now)
        if ended is not None and not ended.report.is_stopping:
            self.fleet.metrics.count("restarts_unannounced")
            self.log.write(LogEvent.RESTART_UNANNOUNCED, gateway=host, **ended.log_fields(now))

    def log_previous_end(self) -> None:
        """Log once what the seeds know of this host's process before; called regularly."""
        if not self.previous_end.is_open:
            return
        now = self.clock.now()
        with self.lock:
            seeds = set(self.settings.seeds) - {self.settings.peer_address}
            conclusion = self.previous_end.conclude(seeds, now)
        if conclusion is None:
            return
        ended = conclusion.ended
        fields = ended.log_fields(now) if ended is not None else {}
        self.log.write(
            LogEvent.PREVIOUS_END,
            known=ended is not None,
            seeds_answered=conclusion.answered,
            **fields,
        )

    def find_relays(self) -> list[Address]:
        """Return the seeds that relay the catalogue, those in this gateway's domain first.

        Return an empty list if this gateway is a seed, or if there are few gateways: each then
        reads from the platform itself, which saves one hop of delay.
        """
        with self.lock:
            if self.settings.is_seed or self.members < MIN_MEMBERS_TO_RELAY:
                return []
            relay_domains = dict(self.relay_domains)
        own_domain = self.settings.domain
        return sorted(relay_domains, key=lambda seed: (relay_domains[seed] != own_domain, seed))

    def update_gathering(self) -> None:
        """Choose where queries are gathered, and apply this gateway's shares; called regularly."""
        table = self.current_table()
        if table is None:
            return
        if self.settings.is_seed:
            self._name_gatherers(table)
        self.names.apply(self.settings.peer_address)
        with self.lock:
            members = self.members
        gatherers = self.names.gatherers
        is_gatherer = any(g.address == self.settings.peer_address for g in gatherers)
        chosen: Gathering = (
            GatherAtPeers() if gatherers and not is_gatherer else GatherHere(is_gatherer)
        )
        if chosen != self.gathering:
            self.gathering = chosen
            self.log.write(
                LogEvent.GATHERING,
                chosen=type(chosen).__name__,
                members=members,
                gatherers=len(gatherers),
            )
        keeps_warm = is_gatherer or (not gatherers and self._gathers_for_lack_of_seeds())
        domains = tuple(sorted(gatherer.domain for gatherer in gatherers if is_gatherer))
        self.fleet.apply_shares(GatewayShares(members, domains, self.settings.domain, keeps_warm))

    def _name_gatherers(self, table: RouteTable) -> None:
        """Choose the gatherers among the gateways that send heartbeats to this seed."""
        now = self.clock.now()
        shards = table.shard_services()
        accepted = [table.services[name].connections for name in shards if name in table.services]
        domains = self.fleet.domains_of_shards()
        with self.lock:
            self.members = self.membership.count(now)
            if now - self.started_at < NAMING_DELAY or self.settings.peer_address is None:
                return
            members = self.membership.candidates(now)
            if self.is_ready():
                members.append(self._own_member(self.settings.peer_address))
            chosen = choose_gatherers(members, domains, min(accepted, default=0))
        named = (Gatherer(member.address, member.domain) for member in chosen[:MAX_NAMED_GATHERERS])
        self.names.record(self.settings.peer_address, frozenset(named))

    def _gathers_for_lack_of_seeds(self) -> bool:
        """Return whether no seed is there to name gatherers, in a system of a few gateways."""
        return self.members < MIN_MEMBERS_TO_RELAY and (
            self.clock.now() - self.started_at > WARM_UP_DELAY
        )

    def is_seed(self, address: Address) -> bool:
        """Return whether the settings name a seed; if they do not, forget it."""
        with self.lock:
            if address in self.settings.seeds:
                return True
            self.heard_seeds.discard(address)
        self.forget_seed(address)
        return False

    def forget_seed(self, seed: Address) -> None:
        """Forget what a seed stated that is not ready, or does not respond any more."""
        with self.lock:
            self.relay_domains.pop(seed, None)
        self.names.forget(seed)

    def usual_interval(self) -> Millis:
        """Return the interval between heartbeats to a seed that responds."""
        if not self.names.gatherers:
            return HEARTBEAT_INTERVAL
        match self.gathering:
            case GatherHere(is_gatherer=is_gatherer):
                return heartbeat_interval(self.members, is_gatherer=is_gatherer)
            case GatherAtPeers():
                return heartbeat_interval(self.members, is_gatherer=False)

    def make_heartbeat(self, seed: Address, interval: Millis) -> SentHeartbeat:
        """Return the next heartbeat to a seed, which another one follows after ``interval``."""
        address = self.settings.peer_address
        can_gather = address is not None and self.is_ready()
        return SentHeartbeat(
            self.settings.host,
            self.report_process(),
            self._own_member(address) if address is not None and can_gather else None,
            interval,
            self.names.digests.get(seed),
            self.previous_end.is_open,
            self.slow_reports.encode_own() if isinstance(self.gathering, GatherHere) else None,
        )

    def record_reply(self, seed: Address, reply: HeartbeatReply) -> None:
        """Record the reply of a seed, and use the gatherers that it names if it is ready."""
        with self.lock:
            if reply.previous is not None and self.previous_end.is_open:
                self.previous_end.record(seed, reply.previous.ended)
            if not reply.is_ready:
                return
            if reply.relay_domain is not None:
                self.relay_domains[seed] = reply.relay_domain
            else:
                self.relay_domains.pop(seed, None)
            if reply.members is not None:
                self.members = reply.members
        if reply.gatherers is not None:
            self.names.record(seed, reply.gatherers, reply.digest)
        self.names.apply(self.settings.peer_address)
        self.slow_reports.apply_reply(reply.slow)

    def _own_member(self, address: Address) -> Member:
        settings = self.settings
        return Member(settings.host, address, settings.domain, settings.capacity.gathering_rate)

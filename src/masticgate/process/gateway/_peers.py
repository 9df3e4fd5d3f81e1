"""The state of the other gateways: heartbeats, the gatherers, and the relays of the catalogue.

To gather a part of a query is to send it to one searcher of each of some shards and to merge the
answers. Each gateway sends heartbeats to the seeds, which are the few gateways that its settings
name. The seeds name the gatherers, to which all gateways forward parts of their queries.
"""

from collections.abc import Callable
from threading import Event, Lock
from time import sleep

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._fields import is_name
from ..._ids import Address, FailureDomainId, HostId, Millis
from ...request.gateway import LocalPage, Request
from ...version.gateway import RouteTable
from ._cold_senders import ColdSenders
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
from ._query import parse_query
from ._seed_exchange import SeedExchange
from ._settings import GatewaySettings
from ._shares import GatewayShares
from ._slow_reports import SlowReports
from ._startup_progress import StartupProgress
from ._supervisor import Supervisor
from .startup import NamingPhase, NamingRule, StartupStep, is_outdated, starting_interval

WARM_UP_DELAY = Millis(4_000.0)
"""How long a starting gateway waits for the names of the gatherers before it warms up connections.

To warm up is to open a connection to each searcher of a shard before there is a request for it.
"""

MIN_MEMBERS_TO_RELAY = 13
"""With at least this many gateways, the seeds read the platform's catalogue for the others.

The catalogue is the configuration and the listings of the searchers.
"""

MIN_NAMING_INTERVAL = Millis(20.0)
"""The time between two choices of gatherers, at least, while heartbeats arrive at a high rate."""

MAX_LOGGED_CHARACTERS = 100
"""A log line quotes at most this much of a name that is invalid."""


class Peers:
    """The state of the other gateways, as far as this gateway knows it.

    ``membership`` holds the heartbeats that this gateway receives if it is a seed, and ``names``
    the gatherers that the seeds name. ``relay_domains`` maps each seed that relays the platform's
    catalogue to its failure domain. ``members`` is the number of running gateways, and
    ``exchanges`` maps each seed to the task that sends it heartbeats. ``report_process`` returns
    what they say of this process, and ``catalogue_age`` the time since the platform or a relay last
    answered. ``was_outdated`` is the latest :meth:`is_outdated`. ``naming_rule`` says when this
    gateway names gatherers if it is a seed, and ``naming_due`` is set when it may name others.
    ``members_by_seed`` is the number of gateways that each seed states; of a seed that has just
    started, it is too low.
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
        catalogue_age: Callable[[], Millis] = lambda: Millis(0.0),
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.clock = clock
        self.log = log
        self.current_table = current_table
        self.is_ready = is_ready
        self.is_platform_reachable = is_platform_reachable
        self.report_process = report_process
        self.catalogue_age = catalogue_age
        self.was_outdated = False
        self.lock = Lock()
        self.update_lock = Lock()
        self.started_at = clock.now()
        self.startup = StartupProgress(clock, fleet.metrics)
        self.membership = Membership()
        self.cold_senders = ColdSenders(self.membership, fleet, clock)
        self.names = GathererNames(fleet, log)
        self.slow_reports = SlowReports(fleet)
        self.relay_domains: dict[Address, FailureDomainId] = {}
        self.members = 1
        self.members_by_seed: dict[Address, int] = {}
        self.naming_rule = NamingRule(clock.now())
        self.naming_due = Event()
        self.gathering: Gathering = GatherHere()
        self.exchanges: dict[Address, SeedExchange] = {}
        self.processes = ProcessHistory()
        self.previous_end = PreviousEndQuestion(clock.now())

    def start(self, supervisor: Supervisor) -> None:
        """Start a heartbeat task for each seed except this gateway.

        If it is a seed itself, start the task that names gatherers as soon as enough is known.
        """
        if self.settings.is_seed:
            supervisor.start(self.run_naming)
        self.apply_settings(self.settings, supervisor)

    def run_naming(self) -> None:
        """Name gatherers when what is known of the gateways changes, until all have started.

        Later changes are applied by the regular calls of :meth:`update_gathering`.
        """
        while True:
            with self.lock:
                has_table = self.current_table() is not None
                wait = self.naming_rule.time_to_change(self.clock.now(), has_table=has_table)
            if wait is None:
                return
            self.naming_due.wait(wait / MILLIS_PER_SECOND)
            sleep(MIN_NAMING_INTERVAL / MILLIS_PER_SECOND)
            self.naming_due.clear()
            self.update_gathering()

    def hurry(self) -> None:
        """Send the next heartbeats at once, since the readiness of this gateway has changed."""
        with self.lock:
            exchanges = list(self.exchanges.values())
        for exchange in exchanges:
            exchange.hurry()
        self.naming_due.set()

    def handle_catalogue(self) -> None:
        """Apply what is known to a catalogue that was read as a whole, and tell the seeds."""
        self.startup.record(StartupStep.LISTINGS)
        self.hurry()
        self.update_gathering()

    def apply_settings(self, settings: GatewaySettings, supervisor: Supervisor) -> None:
        """Apply changed settings: start a heartbeat task for each seed that has none.

        The task of a seed that is no longer one ends by itself.
        """
        self.settings = settings
        for seed in settings.seeds:
            with self.lock:
                if seed == settings.peer_address or seed in self.exchanges:
                    continue
                exchange = self.exchanges[seed] = SeedExchange(seed, self, self.clock)
            supervisor.start(exchange.run)

    def handle_heartbeat(self, request: Request) -> LocalPage:
        """Record a heartbeat, and return this gateway's state and the number of gateways.

        The reply names the gatherers, unless the heartbeat says that its sender knows them.
        """
        query = parse_query(request.target)
        heartbeat = decode_heartbeat(query, self.clock.now())
        host = HostId(query.get("host", [""])[0])
        self._record_process(host, query)
        own_address = self.settings.peer_address or Address("")
        with self.lock:
            before = self.membership.heartbeats.get(host)
            recorded = is_name(host) and self.membership.record(host, heartbeat)
            self.naming_rule.record_report(heartbeat.known_members)
            members = self.membership.count(heartbeat.received_at)
            self.naming_rule.record_heard(members, heartbeat.received_at)
            position = self.cold_senders.position_of(host) if recorded else None
            previous = self.processes.find_before(host) if "previous" in query else None
        if before is None or before.member != heartbeat.member:
            self.naming_due.set()
        if not recorded:
            self.fleet.metrics.count("heartbeats_ignored")
            self.log.write(LogEvent.HEARTBEAT_IGNORED, peer=host[:MAX_LOGGED_CHARACTERS])
        reply = encode_reply(
            self.settings.domain,
            is_ready=self.is_ready(),
            is_relay=self.is_ready() and self.is_platform_reachable(),
            members=members,
            gatherers=self.names.named_by(own_address),
            known_digest=query.get("known", [""])[0],
            previous=AnsweredPrevious(previous) if "previous" in query else None,
            position=position,
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
        if conclusion is not None:
            self.log.write(LogEvent.PREVIOUS_END, **conclusion.log_fields(now))

    def find_relays(self) -> list[Address]:
        """Return the seeds that relay the catalogue, those in this gateway's domain first.

        Return an empty list if there are few gateways: each then reads from the platform itself,
        which saves one hop of delay. A seed uses the other seeds' relays only while the platform
        does not answer it.
        """
        with self.lock:
            if self.members < MIN_MEMBERS_TO_RELAY:
                return []
            relay_domains = dict(self.relay_domains)
        own_domain = self.settings.domain
        return sorted(relay_domains, key=lambda seed: (relay_domains[seed] != own_domain, seed))

    def is_outdated(self) -> bool:
        """Return whether other gateways have a newer catalogue, so that they gather instead."""
        return is_outdated(self.catalogue_age(), others_relay=bool(self.find_relays()))

    def update_gathering(self) -> None:
        """Choose where queries are gathered, and apply this gateway's shares.

        It is called regularly, and when this gateway learns of other gatherers.
        """
        table = self.current_table()
        if table is None:
            return
        self.startup.record(StartupStep.CONFIGURATION)
        with self.update_lock:
            self._update_gathering(table)

    def _update_gathering(self, table: RouteTable) -> None:
        outdated = self.is_outdated()
        if outdated != self.was_outdated:
            self.was_outdated = outdated
            self.hurry()
        if self.settings.is_seed:
            self._name_gatherers(table)
        self.names.apply(self.settings.peer_address)
        with self.lock:
            members = self.members
        gatherers = self.names.gatherers
        if gatherers:
            self.startup.record(StartupStep.GATHERERS)
        others = [g for g in gatherers if g.address != self.settings.peer_address]
        is_gatherer = len(others) < len(gatherers) and not (outdated and others)
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
            if self.settings.peer_address is None:
                return
            heard = self.membership.count(now)
            self._record_members(self.settings.peer_address, heard)
            members = self.membership.candidates(now)
            if self.is_ready() and not self.was_outdated:
                members.append(self._own_member(self.settings.peer_address))
            self.naming_rule.record_heard(heard, now)
            phase = self.naming_rule.update(len(members), now, knows_shards=bool(domains))
        if phase is NamingPhase.HEARING:
            return
        gatherers = self.names.gatherers if phase is NamingPhase.GROWING else ()
        in_use = {gatherer.address for gatherer in gatherers}
        chosen = choose_gatherers(members, domains, min(accepted, default=0), in_use)
        named = frozenset(
            Gatherer(member.address, member.domain) for member in chosen[:MAX_NAMED_GATHERERS]
        )
        self.names.record(self.settings.peer_address, named)
        with self.lock:
            position = self.cold_senders.own_position()
        own_address = self.settings.peer_address
        self.cold_senders.record(own_address, own_address, named, position)

    def _record_members(self, seed: Address, members: int) -> None:
        """Record how many gateways a seed has heard of; the lock is held."""
        self.members_by_seed[seed] = members
        self.members = max(self.members_by_seed.values())

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
            self.exchanges.pop(address, None)
        self.forget_seed(address)
        return False

    def forget_seed(self, seed: Address) -> None:
        """Forget what a seed stated that is not ready, or does not respond any more."""
        with self.lock:
            self.relay_domains.pop(seed, None)
            self.members_by_seed.pop(seed, None)
        self.names.forget(seed)

    def starting_interval(self, *, has_replied: bool) -> Millis | None:
        """Return the interval between heartbeats while this gateway starts, ``None`` after that."""
        age = Millis(self.clock.now() - self.started_at)
        knows_gatherers = bool(self.names.gatherers)
        return starting_interval(age, has_replied=has_replied, knows_gatherers=knows_gatherers)

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
        can_gather = self.is_ready() and not self.is_outdated()
        return SentHeartbeat(
            self.settings.host,
            self.report_process(),
            self._own_member(address) if address is not None and can_gather else None,
            max(interval, HEARTBEAT_INTERVAL),
            self.names.digests.get(seed),
            self.previous_end.is_open,
            self.members if self.members > 1 else 0,
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
            was_alone = self.members == 1
            if reply.members is not None:
                self._record_members(seed, reply.members)
                self.naming_rule.record_report(reply.members)
        if reply.gatherers is not None:
            self.names.record(seed, reply.gatherers, reply.digest)
        own_address, named = self.settings.peer_address, self.names.named_by(seed)
        self.cold_senders.record(seed, own_address, named, reply.position)
        if self.names.apply(self.settings.peer_address) or was_alone:
            self.update_gathering()
        self.slow_reports.apply_reply(reply.slow)

    def _own_member(self, address: Address) -> Member:
        settings = self.settings
        return Member(settings.host, address, settings.domain, settings.capacity.gathering_rate)

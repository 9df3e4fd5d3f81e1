"""The state of the other gateways: heartbeats, the gatherers, and the relays of the catalogue.

To gather a part of a query is to send it to one searcher of each of some shards and to merge the
answers. Each gateway sends heartbeats to the seeds, which are the few gateways that its settings
name. The seeds name the gatherers, to which all gateways forward parts of their queries.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from math import isfinite
from threading import Event, Lock
from time import sleep
from zlib import crc32

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._fields import FieldError, decode_json, is_name
from ..._ids import Address, FailureDomainId, HostId, Millis, SearcherId
from ...connection.gateway import GetTimeouts, HttpClient, HttpResponse, parse_address
from ...request.gateway import LocalPage, Request
from ...version.gateway import (
    PEER_SERVICE,
    Idempotency,
    OneService,
    Route,
    RouteTable,
    SearcherEntry,
    SearcherPhase,
)
from ._fleet import Fleet, peer_route_id
from ._gatherers import Member, choose_gatherers
from ._log import EventLog, LogEvent
from ._membership import (
    HEARTBEAT_INTERVAL,
    MAX_HEARTBEAT_INTERVAL,
    Heartbeat,
    Membership,
    heartbeat_interval,
)
from ._previous_processes import PreviousEndQuestion, ProcessHistory
from ._process_reports import (
    ProcessReport,
    decode_ended,
    decode_report,
    encode_ended,
    encode_report,
)
from ._query import parse_query
from ._settings import GatewaySettings
from ._shares import GatewayShares
from ._supervisor import Supervisor

HEARTBEAT_HOST = "heartbeat.gateway"
"""The Host header by which a gateway recognizes a heartbeat."""

FIRST_HEARTBEAT_DELAY = Millis(50.0)
HEARTBEAT_RETRY_INTERVAL = Millis(250.0)
"""The interval between heartbeats to a seed that does not respond or is not ready.

It is short, so that a starting gateway soon finds the seeds.
"""

QUICK_RETRIES = 20
"""After this many missed heartbeats in a row, the retry interval is that of other heartbeats."""

HEARTBEAT_TIMEOUTS = GetTimeouts(Millis(400.0), Millis(400.0))
"""The timeouts for the connection to a seed, and for its reply to a heartbeat."""

MAX_MISSED_HEARTBEATS = 2
"""A seed no longer counts as a relay after this many missed heartbeats in a row.

A seed that replies that it is not ready is dropped at once.
"""

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

MAX_MEMBERS = 1_000_000
"""A larger number of members in a reply to a heartbeat is ignored."""

MAX_NAMED_GATHERERS = 1_000
"""The number of gatherers that a seed names, and that are accepted in one reply to a heartbeat."""

MAX_LOGGED_CHARACTERS = 100
"""A log line quotes at most this much of a name that is invalid."""

PEER_SLOTS = 64
"""The number of parts that a gatherer is assumed to run at the same time."""

PEER_ATTEMPTS = 3
"""The number of gatherers to which one part may be sent."""


@dataclass(frozen=True, slots=True)
class GatherHere:
    """This gateway gathers shards of its queries itself.

    ``is_gatherer`` says whether it was chosen for that, and then it gathers those in its domain;
    otherwise it knows of no gatherer, and gathers all.
    """

    is_gatherer: bool = False


@dataclass(frozen=True, slots=True)
class GatherAtPeers:
    """This gateway forwards all parts of its queries to gatherers."""


Gathering = GatherHere | GatherAtPeers


@dataclass(frozen=True, slots=True)
class Gatherer:
    """A gateway that gathers parts of queries for others, as a seed names it."""

    address: Address
    domain: FailureDomainId


def peer_route(route: Route) -> Route:
    """Return the route by which parts of queries on ``route`` are forwarded to gatherers.

    It is not idempotent, so that a part is forwarded again only if it did not run.
    """
    return replace(
        route,
        id=peer_route_id(route.id),
        kind=Idempotency.NON_IDEMPOTENT,
        target=OneService(PEER_SERVICE),
        attempts=PEER_ATTEMPTS,
    )


class Peers:
    """The state of the other gateways, as far as this gateway knows it.

    ``membership`` holds the heartbeats that this gateway receives if it is a seed. ``named`` maps
    each seed that responds to the gatherers that it names, ``digests`` to the digest of their
    names, and ``gatherers`` holds all of them; the last ones stay in use while no seed names any.
    ``relay_domains`` maps each seed that relays the platform's catalogue to its failure domain.
    ``members`` is the number of running gateways, and ``heard_seeds`` are the seeds to which
    heartbeats are sent. ``report_process`` returns what they say of this process, and the next ones
    are sent at once when ``stopping`` is set.
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
        self.apply_lock = Lock()
        self.started_at = clock.now()
        self.membership = Membership()
        self.named: dict[Address, frozenset[Gatherer]] = {}
        self.digests: dict[Address, str] = {}
        self.gatherers: frozenset[Gatherer] = frozenset()
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
                supervisor.start(partial(self._run_heartbeats, seed))

    def handle_heartbeat(self, request: Request) -> LocalPage:
        """Record a heartbeat, and return this gateway's state and the number of gateways.

        The reply names the gatherers, unless the heartbeat says that its sender knows them.
        """
        query = parse_query(request.target)
        heartbeat = decode_heartbeat(query, self.clock.now())
        host = HostId(query.get("host", [""])[0])
        self._record_process(host, query)
        with self.lock:
            recorded = is_name(host) and self.membership.record(host, heartbeat)
            members = self.membership.count(heartbeat.received_at)
            named = self.named.get(self.settings.peer_address or Address(""), frozenset())
        if not recorded:
            self.fleet.metrics.count("heartbeats_ignored")
            self.log.write(LogEvent.HEARTBEAT_IGNORED, peer=host[:MAX_LOGGED_CHARACTERS])
        gatherers = sorted([gatherer.address, gatherer.domain] for gatherer in named)
        digest = digest_gatherers(gatherers)
        reply: dict[str, object] = {
            "domain": self.settings.domain,
            "ready": self.is_ready(),
            "relays": self.is_ready() and self.is_platform_reachable(),
            "members": members,
        }
        if query.get("known", [""])[0] != digest:
            reply |= {"gatherers": gatherers, "digest": digest}
        if "previous" in query:
            with self.lock:
                before = self.processes.find_before(host)
            reply["previous"] = encode_ended(before, self.clock.now())
        return LocalPage(200, json.dumps(reply, separators=(",", ":")).encode())

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
        self._apply_gatherers()
        with self.lock:
            members, gatherers = self.members, self.gatherers
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
            chosen = chosen[:MAX_NAMED_GATHERERS]
            self.named[self.settings.peer_address] = frozenset(
                Gatherer(member.address, member.domain) for member in chosen
            )

    def _apply_gatherers(self) -> None:
        """Send queries to the gatherers that the seeds name now, and no longer to others."""
        with self.apply_lock:
            with self.lock:
                named = frozenset[Gatherer]().union(*self.named.values())
            if not named:
                return
            for gatherer in self.gatherers - named:
                self.log.write(LogEvent.GATHERER_LOST, peer=gatherer.address)
                self.fleet.remove_searcher(_peer_id(gatherer.address), "not named by a seed")
            for gatherer in named - self.gatherers:
                self.log.write(LogEvent.GATHERER_FOUND, peer=gatherer.address)
            for gatherer in named:
                if gatherer.address != self.settings.peer_address:
                    self.fleet.apply_listing(_gatherer_entry(gatherer))
            self.gatherers = named

    def _gathers_for_lack_of_seeds(self) -> bool:
        """Return whether no seed is there to name gatherers, in a system of a few gateways."""
        return self.members < MIN_MEMBERS_TO_RELAY and (
            self.clock.now() - self.started_at > WARM_UP_DELAY
        )

    def _run_heartbeats(self, seed: Address) -> None:
        """Send heartbeats to one seed until the process ends, or it is no seed any more.

        The seed names gatherers, and may relay the catalogue, while it replies that it is ready.
        """
        client = HttpClient(seed, self.clock)
        misses = MAX_MISSED_HEARTBEATS
        wait = FIRST_HEARTBEAT_DELAY
        while self._is_seed(seed):
            self._wait_for_next_heartbeat(wait)
            wait = self._next_interval(misses)
            reply = self._exchange_heartbeat(seed, client, wait)
            if reply is not None and reply.get("ready") is True:
                misses = 0
                self._record_reply(seed, reply)
                continue
            misses += 1
            if reply is not None or misses >= MAX_MISSED_HEARTBEATS:
                misses = max(misses, MAX_MISSED_HEARTBEATS)
                with self.lock:
                    self._forget_seed(seed)
        client.close()

    def _wait_for_next_heartbeat(self, interval: Millis) -> None:
        """Wait for ``interval``, or until the gateway begins to stop, of which the seeds learn."""
        if self.stopping.is_set():
            sleep(interval / MILLIS_PER_SECOND)
        else:
            self.stopping.wait(interval / MILLIS_PER_SECOND)

    def _is_seed(self, seed: Address) -> bool:
        """Return whether the settings name a seed; if they do not, forget it."""
        with self.lock:
            if seed in self.settings.seeds:
                return True
            self.heard_seeds.discard(seed)
            self._forget_seed(seed)
            return False

    def _forget_seed(self, seed: Address) -> None:
        self.relay_domains.pop(seed, None)
        self.named.pop(seed, None)
        self.digests.pop(seed, None)

    def _next_interval(self, misses: int) -> Millis:
        if MAX_MISSED_HEARTBEATS <= misses < MAX_MISSED_HEARTBEATS + QUICK_RETRIES:
            return HEARTBEAT_RETRY_INTERVAL
        if not self.gatherers:
            return HEARTBEAT_INTERVAL
        match self.gathering:
            case GatherHere(is_gatherer=is_gatherer):
                return heartbeat_interval(self.members, is_gatherer=is_gatherer)
            case GatherAtPeers():
                return heartbeat_interval(self.members, is_gatherer=False)

    def _exchange_heartbeat(
        self, seed: Address, client: HttpClient, interval: Millis
    ) -> dict[str, object] | None:
        """Send one heartbeat; return the decoded reply, or ``None`` if there is no valid one.

        The next heartbeat follows after ``interval``.
        """
        query = self._make_heartbeat(seed, interval)
        response = client.get(HEARTBEAT_HOST, "/", query, HEARTBEAT_TIMEOUTS)
        if not isinstance(response, HttpResponse):
            client.close()
            return None
        try:
            reply = decode_json(response.body)
        except FieldError:
            return None
        if not isinstance(reply, dict):
            return None
        if "previous" in query and "previous" in reply:
            ended = decode_ended(reply["previous"], self.clock.now())
            with self.lock:
                self.previous_end.record(seed, ended)
        return reply

    def _make_heartbeat(self, seed: Address, interval: Millis) -> dict[str, object]:
        """Return the query of a heartbeat to ``seed``."""
        query: dict[str, object] = {
            "host": self.settings.host,
            "process": encode_report(self.report_process()),
        }
        if self.previous_end.is_open:
            query["previous"] = 1
        if seed in self.digests:
            query["known"] = self.digests[seed]
        if self.settings.peer_address is not None and self.is_ready():
            own = self._own_member(self.settings.peer_address)
            query |= {"peer": own.address, "domain": own.domain, "rate": round(own.rate, 1)}
            query["interval"] = round(interval)
        return query

    def _own_member(self, address: Address) -> Member:
        settings = self.settings
        return Member(settings.host, address, settings.domain, settings.capacity.gathering_rate)

    def _record_reply(self, seed: Address, reply: dict[str, object]) -> None:
        members, domain, digest = (reply.get(name) for name in ("members", "domain", "digest"))
        with self.lock:
            if reply.get("relays") is True and is_name(domain):
                self.relay_domains[seed] = FailureDomainId(str(domain))
            else:
                self.relay_domains.pop(seed, None)
            if isinstance(members, int) and 0 < members <= MAX_MEMBERS:
                self.members = members
            if "gatherers" in reply:
                self.named[seed] = decode_gatherers(reply["gatherers"])
                self.digests[seed] = str(digest) if is_name(digest) else ""
        self._apply_gatherers()


def decode_heartbeat(query: dict[str, list[str]], now: Millis) -> Heartbeat:
    """Return the heartbeat that a query states; one that is invalid states no member."""
    unknown = Heartbeat(None, HEARTBEAT_INTERVAL, now)
    try:
        host, domain = HostId(query["host"][0]), FailureDomainId(query["domain"][0])
        address = parse_address(query["peer"][0])
        rate, interval = float(query["rate"][0]), Millis(float(query["interval"][0]))
    except (KeyError, ValueError):
        return unknown
    if address is None or not (0.0 < interval <= MAX_HEARTBEAT_INTERVAL and isfinite(rate)):
        return unknown
    if not (is_name(host) and is_name(domain)):
        return unknown
    return Heartbeat(Member(host, address, domain, rate), interval, now)


def decode_gatherers(value: object) -> frozenset[Gatherer]:
    """Return the gatherers that a reply to a heartbeat names; invalid ones are left out."""
    gatherers = set()
    for item in value[:MAX_NAMED_GATHERERS] if isinstance(value, list) else ():
        match item:
            case [text, str(domain)] if (address := parse_address(text)) and is_name(domain):
                gatherers.add(Gatherer(address, FailureDomainId(domain)))
    return frozenset(gatherers)


def digest_gatherers(gatherers: list[list[str]]) -> str:
    """Return a short text that differs for different gatherers, so that they are sent once."""
    return f"{crc32(repr(gatherers).encode()):x}"


def _peer_id(address: Address) -> SearcherId:
    return SearcherId(f"{PEER_SERVICE}/{address}")


def _gatherer_entry(gatherer: Gatherer) -> SearcherEntry:
    """Return a listing for a gatherer, so that the fleet can treat it as a searcher."""
    return SearcherEntry(
        _peer_id(gatherer.address),
        PEER_SERVICE,
        gatherer.address,
        gatherer.domain,
        PEER_SLOTS,
        SearcherPhase.READY,
        Millis(0.0),
        0,
    )

"""A deployment of stand-ins and entry hosts as processes on loopback addresses.

An entry host is a process of masticgate that serves callers. Stand-ins replace the searchers and
the platform, which publishes the configuration and the host list.
"""

import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from masticgate import Revision
from masticgate.version import Accepted, Configuration, accept_text

ROOT = Path(__file__).resolve().parents[2]
TEXT_KEY = "masticgate/text"
SNAPSHOTS_KEY = "masticgate/snapshots"

START_TIMEOUT_SECONDS = 20.0
"""Bounds the wait for each stand-in to respond, and the wait for all hosts to be ready."""

STOP_TIMEOUT_SECONDS = 15.0
"""Bounds the wait for all processes to end after SIGTERM; the rest are killed."""

CALL_TIMEOUT_SECONDS = 10.0
"""Bounds each socket operation of an HTTP call to a host or to a control address."""

_address_numbers = itertools.count()


def allocate_ip_address() -> str:
    """Return a loopback IP address that other fleets are unlikely to use.

    It is derived from the process id and from the number of addresses allocated before.
    """
    number = os.getpid() * 7 + next(_address_numbers)
    return f"127.{1 + number // 250 % 250}.{number % 250}.1"


@dataclass
class Reply:
    """A response to a caller's request or to a control call, with its JSON body decoded."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)


def call(address: str, method: str, path: str, body: Any = None) -> Reply:
    """Make one HTTP call with a JSON body, on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        return Reply(response.status, json.loads(text) if text else None, dict(response.headers))
    finally:
        connection.close()


def shard_map(configuration: Configuration, shards: int = 2, prefix: str = "s") -> dict[str, Any]:
    """Return a shard map with ``shards`` shards of weight 1.0 for each service that has searchers.

    The id of a shard is the id of its service, a slash, ``prefix`` and the number of the shard.
    """
    return {
        service.id: {f"{service.id}/{prefix}{n}": 1.0 for n in range(shards)}
        for service in configuration.services.values()
        if service.searchers
    }


class Fleet:
    """One deployment: a platform, searchers and entry hosts, none of them in this process.

    The platform and each entry host have a process each; the searchers share
    ``searcher_processes`` processes. The configuration text is ``text``, with 127.0.0.1 replaced by
    the fleet's own IP address. ``routing`` and ``settings`` are settings of all hosts, and
    ``host_settings`` maps the index of a host to settings of that host alone. ``behaviour`` holds
    fields of ``Behaviour`` that all searchers start with.
    """

    def __init__(
        self,
        text: str,
        hosts: int = 3,
        *,
        routing: str = "owner",
        searcher_processes: int = 1,
        behaviour: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
        host_settings: dict[int, dict[str, Any]] | None = None,
    ) -> None:
        self.ip_address = allocate_ip_address()
        self.text = text.replace("127.0.0.1:", f"{self.ip_address}:")
        accepted = accept_text(self.text, Revision(1))
        assert isinstance(accepted, Accepted), accepted
        self.configuration = accepted.configuration
        self.routing = routing
        self.searcher_processes = searcher_processes
        self.initial_behaviour = behaviour or {}
        self.extra_settings = settings or {}
        self.host_settings = host_settings or {}
        self.folder = Path(tempfile.mkdtemp(prefix="masticgate-"))
        self.platform_address = f"{self.ip_address}:9000"
        self.platform_control_address = f"{self.ip_address}:9001"
        self.control_addresses = [
            f"{self.ip_address}:{9100 + n}" for n in range(searcher_processes)
        ]
        domains = sorted(
            {
                searcher.failure_domain
                for service in self.configuration.services.values()
                for searcher in service.searchers
            }
        )
        self.hosts = [
            {
                "host": f"h{n + 1}",
                "address": f"{self.ip_address}:{7001 + n}",
                "failure_domain": domains[n % len(domains)],
            }
            for n in range(hosts)
        ]
        self.caller_addresses = [f"{self.ip_address}:{8001 + n}" for n in range(hosts)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.snapshots = [{"version": 1, "shards": shard_map(self.configuration)}]

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything, and wait until each host is ready."""
        self.start_standins()
        for index in range(len(self.hosts)):
            self.start_host(index)
        self.wait_until(self.is_ready, START_TIMEOUT_SECONDS, "the hosts did not become ready")

    def start_standins(self) -> None:
        """Start the platform and the searchers, and publish what the platform serves."""
        plan = {"platform": self.platform_address, "control": self.platform_control_address}
        self._spawn_standin("platform", plan)
        searchers = [
            {
                "id": searcher.id,
                "service": service.id,
                "address": searcher.address,
                "slots": searcher.slots,
                "connections": searcher.connections,
            }
            for service in self.configuration.services.values()
            for searcher in service.searchers
        ]
        for number, control in enumerate(self.control_addresses):
            process_searchers = searchers[number :: self.searcher_processes]
            plan = {
                "searchers": process_searchers,
                "control": control,
                "behaviour": self.initial_behaviour,
            }
            self._spawn_standin(f"searchers-{number}", plan)
        for control in [self.platform_control_address, *self.control_addresses]:
            self.wait_until(
                lambda c=control: self._is_answering(c),
                START_TIMEOUT_SECONDS,
                "a stand-in did not start",
            )
        self.publish_snapshots(self.snapshots)
        self.publish_text(self.text)
        self.publish_hosts(self.hosts)

    def start_host(self, index: int, **overrides: Any) -> None:
        """Start one entry host as a new incarnation, without any state of an earlier one.

        ``overrides`` replace or add settings of this incarnation.
        """
        host = self.hosts[index]
        settings = {
            "host": host["host"],
            "failure_domain": host["failure_domain"],
            "caller_address": self.caller_addresses[index],
            "peer_address": host["address"],
            "platform": {"configuration": self.platform_address, "hosts": self.platform_address},
            "seeds": [h for h in self.hosts if h is not host],
            "routing": self.routing,
            **self.extra_settings,
            **self.host_settings.get(index, {}),
            **overrides,
        }
        path = self.folder / f"{host['host']}.jsonc"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "masticgate", "serve", "--settings", str(path)]
        self._spawn(host["host"], command)

    def is_ready(self) -> bool:
        """Return whether every host is ready."""
        return all(self.is_host_ready(index) for index in range(len(self.hosts)))

    def is_host_ready(self, index: int) -> bool:
        """Return whether a host is ready to serve.

        It then has a configuration and snapshots, and reaches every running host.
        """
        try:
            status = call(self.caller_addresses[index], "GET", "/v1/status").body
        except OSError:
            return False
        running = {h["host"] for h in self.hosts if self.is_running(h["host"])}
        reached = {peer["host"] for peer in status["peers"] if peer["reachable"]}
        return bool(status["revision"] and status["snapshots"] and running <= reached)

    def search(self, index: int, services: list[str], **fields: Any) -> Reply:
        """Send a search to one host; ``fields`` replace or add fields of the request."""
        body = {"services": services, "text": "lamp", "remaining_ms": 1000.0, **fields}
        return call(self.caller_addresses[index], "POST", "/v1/search", body)

    def mint(self, index: int) -> str:
        """Have one host mint a ticket, under which a booking runs at most once, and return it."""
        return str(call(self.caller_addresses[index], "POST", "/v1/tickets").body["ticket"])

    def book(self, index: int, ticket: str, service: str, **fields: Any) -> Reply:
        """Send a booking to one host; ``fields`` replace or add fields of the request."""
        body = {
            "ticket": ticket,
            "service": service,
            "payload": {"unit": "7"},
            "remaining_ms": 1000.0,
            **fields,
        }
        return call(self.caller_addresses[index], "POST", "/v1/bookings", body)

    def status(self, index: int) -> dict[str, Any]:
        """Return what one host reports at ``/v1/status``."""
        return dict(call(self.caller_addresses[index], "GET", "/v1/status").body)

    def publish_text(self, text: str) -> int:
        """Publish a configuration text, and return its revision."""
        return self._publish(TEXT_KEY, text.replace("127.0.0.1:", f"{self.ip_address}:"))

    def publish_snapshots(self, snapshots: list[dict[str, Any]]) -> int:
        """Publish the snapshot catalogue, and return its revision."""
        return self._publish(SNAPSHOTS_KEY, json.dumps({"versions": snapshots}))

    def publish_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Publish the platform's list of hosts."""
        self.control_platform("hosts", hosts=hosts)

    def control_platform(self, command: str, **fields: Any) -> Any:
        """Send a control command to the platform, and return the body of its response."""
        return call(self.platform_control_address, "POST", "/", {"command": command, **fields}).body

    def set_behaviour(self, searchers: list[str], **behaviour: Any) -> None:
        """Change fields of ``Behaviour`` of these searchers, or of all when the list is empty."""
        for control in self.control_addresses:
            call(control, "POST", "/", {"searchers": searchers, "behaviour": behaviour})

    def searcher_reports(self, include_search_log: bool = True) -> dict[str, Any]:
        """Return the counts and bookings of each searcher by its id.

        The last searches that each one answered are included when ``include_search_log`` is set.
        """
        reports: dict[str, Any] = {}
        for control in self.control_addresses:
            reports.update(call(control, "GET", "/" if include_search_log else "/counts").body)
        return reports

    def is_running(self, name: str) -> bool:
        """Return whether the process was started and has not ended."""
        return name in self.processes and self.processes[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End one process with SIGKILL, and wait for it."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def wait_until(self, condition: Any, timeout_seconds: float, message: str) -> None:
        """Wait until ``condition()`` holds; fail with ``message`` after the timeout."""
        deadline = time.monotonic() + timeout_seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(message)
            time.sleep(0.05)

    def stop(self) -> None:
        """Stop every process that this fleet started, paused ones included."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def read_log(self, name: str) -> str:
        """Return what one process has written to standard output and standard error."""
        return (self.folder / f"{name}.log").read_text()

    def _publish(self, key: str, value: str) -> int:
        return int(self.control_platform("put", key=key, value=value)["revision"])

    def _is_answering(self, address: str) -> bool:
        try:
            return call(address, "GET", "/").status == 200
        except OSError:
            return False

    def _spawn_standin(self, name: str, plan: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(plan))
        self._spawn(name, [sys.executable, "-m", "tests.standins", str(path)])

    def _spawn(self, name: str, command: list[str]) -> None:
        paths = [str(ROOT / "src"), str(ROOT)]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

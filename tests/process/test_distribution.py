"""Distribution of edits of the configuration text to every host, with real processes."""

import signal

import pytest

from masticgate import Millis
from masticgate.process._watch import WATCHED_KEYS, most_reads
from tests.standins.fleet import Fleet, call
from tests.texts import SMALL

IN_FORCE_SECONDS = 5.0
"""The longest time until an edit is in force on every host."""

PLATFORM_BACK_SECONDS = 12.0
"""The same after an outage of the platform, since hosts then wait up to 10 s between reads."""


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


def edit(number: int) -> str:
    """Return the text with an edit: the first searcher has ``number`` slots."""
    return SMALL.replace('"slots": 2', f'"slots": {number}', 1)


def revisions(fleet: Fleet) -> list[int]:
    return [fleet.status(index)["revision"] for index in range(len(fleet.hosts))]


def wait_in_force(fleet: Fleet, revision: int, seconds: float = IN_FORCE_SECONDS) -> None:
    def is_in_force() -> bool:
        return set(revisions(fleet)) == {revision}

    fleet.wait_until(is_in_force, seconds, f"revision {revision} is not in force everywhere")


def events(fleet: Fleet, index: int, kind: str) -> list[str]:
    """Return the details of the events of ``kind`` on one host's timeline."""
    found = call(fleet.caller_addresses[index], "GET", "/v1/events").body["events"]
    return [event["detail"] for event in found if event["kind"] == kind]


class TestEdit:
    def test_comes_into_force_on_every_host_within_seconds(self, fleet):
        wait_in_force(fleet, fleet.publish_text(edit(3)))

    def test_invalid_edit_changes_nothing_and_reports_its_position(self, fleet):
        before = revisions(fleet)
        refused = fleet.publish_text(edit(3).replace('["ledger/1"]', '["gone"]'))

        def is_refused() -> bool:
            return all(fleet.status(i)["refused_revision"] == refused for i in range(3))

        fleet.wait_until(is_refused, IN_FORCE_SECONDS, "the text was not refused everywhere")
        assert revisions(fleet) == before
        assert "line 8, column" in fleet.status(0)["problems"][0]
        assert "service 'desk/1' depends on 'gone'" in fleet.status(0)["problems"][0]
        assert fleet.search(0, ["desk/1"]).body["whole"]
        wait_in_force(fleet, fleet.publish_text(edit(4)))
        assert fleet.status(0)["problems"] == []

    def test_edit_during_platform_outage_comes_into_force_after_it(self, fleet):
        fleet.control_platform("down", down=True)
        before = revisions(fleet)
        revision = fleet.publish_text(edit(5))
        assert fleet.search(0, ["desk/1"]).body["whole"]
        assert revisions(fleet) == before
        fleet.control_platform("down", down=False)
        wait_in_force(fleet, revision, PLATFORM_BACK_SECONDS)

    def test_reaches_host_that_cannot_reach_the_platform(self, fleet):
        fleet.kill("h3")
        nowhere = f"{fleet.ip_address}:9"
        fleet.start_host(2, platform={"configuration": nowhere, "hosts": nowhere})
        fleet.wait_until(fleet.is_ready, 10.0, "the host did not start without the platform")
        wait_in_force(fleet, fleet.publish_text(edit(6)))


class TestStalePlatform:
    def test_does_not_revert_a_restarted_host(self, fleet):
        """Guard against a restarted host that puts the platform's stale text in force.

        A host stores nothing across restarts. The platform answers with the previous text and the
        peers are paused, so the host must wait for the peers before it serves.
        """
        revision = fleet.publish_text(edit(3))
        wait_in_force(fleet, revision)
        fleet.control_platform("freeze", freeze=True, previous=True)
        fleet.kill("h1")
        for peer in ("h2", "h3"):
            fleet.signal(peer, signal.SIGSTOP)
        fleet.start_host(0)
        fleet.wait_until(lambda: answers(fleet), 10.0, "the host does not answer")
        reply = fleet.search(0, ["desk/1"])
        assert (reply.body["outcome"], reply.body["reason"]) == ("not_run", "no_configuration")
        for peer in ("h2", "h3"):
            fleet.signal(peer, signal.SIGCONT)
        fleet.wait_until(fleet.is_ready, 10.0, "the host did not start")
        assert revisions(fleet) == [revision] * 3
        (serving,) = events(fleet, 0, "serving")
        assert serving.startswith("complete: the platform and 2 peers in ")
        assert serving.endswith(f"serves revision {revision}")

    def test_intermittent_staleness_reverts_nothing(self, fleet):
        fleet.control_platform("freeze", freeze=False)
        revision = fleet.publish_text(edit(4))
        wait_in_force(fleet, revision)
        for turn in range(10):
            fleet.control_platform("freeze", freeze=turn % 2 == 0, previous=True)
            assert revisions(fleet) == [revision] * 3
        wait_in_force(fleet, fleet.publish_text(edit(5)), PLATFORM_BACK_SECONDS)


class TestStartWithoutPeers:
    def test_serves_the_text_of_the_platform_and_records_a_partial_start(self):
        with Fleet(SMALL, hosts=2) as fleet:
            fleet.kill("h1")
            fleet.kill("h2")
            fleet.start_host(0)
            fleet.wait_until(lambda: fleet.is_host_ready(0), 10.0, "the host did not start")
            assert events(fleet, 0, "serving")[0].startswith(
                "partial: the platform and 0 peers in "
            )


def answers(fleet: Fleet) -> bool:
    """Return whether the first host answers a search, whatever the status."""
    try:
        return fleet.search(0, ["desk/1"]).status > 0
    except OSError:
        return False


class TestReads:
    @pytest.mark.parametrize(("hosts", "watchers"), [(3, 3), (7, 4)])
    def test_number_grows_with_failure_domains_and_not_with_hosts(self, hosts, watchers):
        with Fleet(SMALL, hosts=hosts) as fleet:

            def is_settled() -> bool:
                return (
                    fleet.control_platform("status")["pending_watches"] == watchers * WATCHED_KEYS
                )

            fleet.wait_until(is_settled, 10.0, "the platform does not have two watches per watcher")
            domains = {host["failure_domain"] for host in fleet.hosts}
            before = fleet.control_platform("status")["requests"]
            wait_in_force(fleet, fleet.publish_text(edit(3)))
            fleet.wait_until(is_settled, 10.0, "the watches did not resume after the edit")
            read = fleet.control_platform("status")["requests"] - before
            assert read <= most_reads(len(domains), Millis(10_000.0), changes=1, starts=0)
            statuses = [fleet.status(index) for index in range(hosts)]
            assert sum(status["watcher"] for status in statuses) == watchers


class TestWatchers:
    def test_both_lost_watchers_of_a_failure_domain_are_replaced(self):
        with Fleet(SMALL, hosts=7) as fleet:
            fleet.wait_until(lambda: is_settled(fleet), 10.0, "not every domain has two watchers")
            lost = [index for index in watchers(fleet) if domain_of(fleet, index) == "north"]
            assert len(lost) == 2
            for index in lost:
                fleet.kill(fleet.hosts[index]["host"])
            fleet.wait_until(lambda: is_settled(fleet), 10.0, "the watchers are not replaced")
            revision = fleet.publish_text(edit(3))
            left = running(fleet)

            def is_in_force() -> bool:
                return all(fleet.status(index)["revision"] == revision for index in left)

            fleet.wait_until(is_in_force, IN_FORCE_SECONDS, "the edit is not in force")


def running(fleet: Fleet) -> list[int]:
    """Return the indexes of the running hosts."""
    return [i for i, host in enumerate(fleet.hosts) if fleet.is_running(host["host"])]


def domain_of(fleet: Fleet, index: int) -> str:
    return str(fleet.hosts[index]["failure_domain"])


def watchers(fleet: Fleet) -> list[int]:
    """Return the indexes of the running hosts that watch the platform."""
    return [index for index in running(fleet) if fleet.status(index)["watcher"]]


def is_settled(fleet: Fleet) -> bool:
    """Return whether two hosts of each failure domain watch, each with an open watch per key."""
    domains = sorted(domain_of(fleet, index) for index in watchers(fleet))
    waiting = fleet.control_platform("status")["pending_watches"]
    return domains == ["north", "north", "south", "south"] and waiting == 4 * WATCHED_KEYS

"""What one host asks of its peers, and what it sends them."""

from masticgate import (
    Address,
    FailureDomainId,
    HostId,
    Incarnation,
    ManualClock,
    Millis,
    Revision,
    SnapshotVersion,
)
from masticgate.process import Hello, Settings
from masticgate.process._distribution import FETCH_TIMEOUT, Distribution
from masticgate.process._members import Members
from masticgate.process._peer_service import member_from_hello
from masticgate.process._timeline import TimeLine
from masticgate.process._versions import VersionStore
from masticgate.version import CataloguePush, FetchVersions, SectionsPush, TextPush, Versions
from tests.texts import SMALL

NOWHERE = "127.0.0.1:9"


def edit(number: int) -> str:
    return SMALL.replace('"slots": 2', f'"slots": {number}', 1)


class NoLinks:
    """Links that keep what is sent to all peers."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def broadcast(self, message) -> None:
        self.sent.append(message)


class Node:
    """One host's distribution, with no platform and no links."""

    def __init__(self, name: str) -> None:
        settings = Settings(
            host=name,
            failure_domain="north",
            caller_address=NOWHERE,
            peer_address=NOWHERE,
            platform={"configuration": NOWHERE, "hosts": NOWHERE},
        )
        self.clock = ManualClock()
        timeline = TimeLine(HostId(name), self.clock)
        self.versions = VersionStore(timeline, lambda configuration: None)
        self.links = NoLinks()
        self.hello = Hello(
            HostId(name), Address(NOWHERE), FailureDomainId("north"), Incarnation(1), 1, 1
        )
        own = member_from_hello(self.hello)
        members = Members(own, self.clock, timeline, lambda changed: None)
        self.distribution = Distribution(
            settings, self.versions, members, self.links, timeline, self.clock
        )
        self.answers: list[object] = []

    def hears(self, other: "Node", revision: int, catalogue: int = 0) -> list[object]:
        """Return what this node asks after ``other`` named its versions."""
        self.answers.clear()
        versions = Versions(Revision(revision), SnapshotVersion(catalogue))
        self.distribution.compare_versions(other.hello, versions, self.answer)
        return list(self.answers)

    def sends(self, have: int) -> list[object]:
        """Return what this node sends a peer at revision ``have``."""
        self.answers.clear()
        versions = Versions(Revision(have), SnapshotVersion(0))
        self.distribution.answer_fetch(versions, self.answer)
        return list(self.answers)

    def takes(self, push) -> list[object]:
        """Return what this node asks after it got ``push``."""
        self.answers.clear()
        self.distribution.handle_push(push, self.answer)
        return list(self.answers)

    def answer(self, message) -> bool:
        self.answers.append(message)
        return True


class TestFetch:
    def test_asks_one_peer_at_a_time_for_one_revision(self):
        node, first, second = Node("h1"), Node("h2"), Node("h3")
        asked = [FetchVersions(Versions(Revision(0), SnapshotVersion(0)))]
        assert node.hears(first, 5) == asked
        assert node.hears(second, 5) == []
        assert node.hears(second, 6) == asked
        node.clock.advance(Millis(FETCH_TIMEOUT + 1))
        assert node.hears(first, 6) == asked

    def test_asks_for_nothing_that_it_has_or_refused(self):
        node, peer = Node("h1"), Node("h2")
        node.versions.offer_text(SMALL, Revision(5))
        node.versions.offer_text("{", Revision(7))
        assert node.hears(peer, 5) == node.hears(peer, 7) == node.hears(peer, 4) == []
        assert node.hears(peer, 6) != []

    def test_asks_for_a_newer_catalogue_while_a_text_is_awaited(self):
        node, peer = Node("h1"), Node("h2")
        assert node.hears(peer, 5) != []
        assert node.hears(peer, 0, catalogue=2) != []


class TestPush:
    def test_brings_a_peer_forward_by_sections_and_tells_the_others(self):
        node, peer = Node("h1"), Node("h2")
        for revision in (1, 2):
            node.versions.offer_text(edit(revision), Revision(revision))
        peer.versions.offer_text(edit(1), Revision(1))
        (push,) = node.sends(1)
        assert isinstance(push, SectionsPush)
        assert peer.takes(push) == []
        assert peer.versions.configuration == node.versions.configuration
        assert [message.versions.revision for message in peer.links.sent] == [2]
        assert peer.takes(push) == [] and len(peer.links.sent) == 1

    def test_against_another_revision_or_text_is_asked_for_again(self):
        node, peer = Node("h1"), Node("h2")
        for revision in (1, 2, 3):
            node.versions.offer_text(edit(revision), Revision(revision))
        peer.versions.offer_text(edit(9), Revision(1))
        assert [fetch.have.revision for fetch in peer.takes(node.sends(2)[0])] == [1]
        other = edit(9).replace('"orders": {}', '"orders": {"leaving": true}')
        peer.versions.offer_text(other, Revision(2))
        assert [fetch.have.revision for fetch in peer.takes(node.sends(2)[0])] == [0]
        (whole,) = node.sends(0)
        assert isinstance(whole, TextPush) and peer.takes(whole) == []
        assert peer.versions.configuration == node.versions.configuration

    def test_sends_a_newer_catalogue_as_published(self):
        node, peer = Node("h1"), Node("h2")
        text = '{"versions": [{"version": 4, "shards": {"desk/1": {"a": 1.0}}}]}'
        node.versions.offer_catalogue(text)
        assert node.sends(0) == [CataloguePush(text)]
        peer.takes(CataloguePush(text))
        assert peer.versions.versions().catalogue == 4

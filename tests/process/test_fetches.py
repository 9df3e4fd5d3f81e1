"""The versions that a host fetches from its peers, and the pushes that it sends them."""

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
from masticgate.process._timeline import Timeline
from masticgate.process._versions import VersionStore
from masticgate.version import CataloguePush, FetchVersions, SectionsPush, TextPush, Versions
from tests.texts import SMALL

NOWHERE = "127.0.0.1:9"


def edit(number: int) -> str:
    """Return the text with an edit: the first searcher has ``number`` slots."""
    return SMALL.replace('"slots": 2', f'"slots": {number}', 1)


class RecordingLinks:
    """Links that record the messages sent to all peers."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def broadcast(self, message) -> None:
        self.sent.append(message)


class DistributionHost:
    """The distribution of one host, without a platform and with recording links."""

    def __init__(self, name: str) -> None:
        settings = Settings(
            host=name,
            failure_domain="north",
            caller_address=NOWHERE,
            peer_address=NOWHERE,
            platform={"configuration": NOWHERE, "hosts": NOWHERE},
        )
        self.clock = ManualClock()
        timeline = Timeline(HostId(name), self.clock)
        self.versions = VersionStore(timeline, lambda configuration: None)
        self.links = RecordingLinks()
        self.hello = Hello(
            HostId(name), Address(NOWHERE), FailureDomainId("north"), Incarnation(1), 1, 1
        )
        own_member = member_from_hello(self.hello)
        members = Members(own_member, self.clock, timeline, lambda changed: None)
        self.distribution = Distribution(
            settings, self.versions, members, self.links, timeline, self.clock
        )
        self.replies: list[object] = []

    def compare_versions(
        self, other: "DistributionHost", revision: int, catalogue: int = 0
    ) -> list[object]:
        """Return the replies to a heartbeat of ``other`` that names these versions."""
        self.replies.clear()
        versions = Versions(Revision(revision), SnapshotVersion(catalogue))
        self.distribution.compare_versions(other.hello, versions, self.send_reply)
        return list(self.replies)

    def answer_fetch(self, peer_revision: int) -> list[object]:
        """Return what this host sends to a peer that fetches at ``peer_revision``."""
        self.replies.clear()
        versions = Versions(Revision(peer_revision), SnapshotVersion(0))
        self.distribution.answer_fetch(versions, self.send_reply)
        return list(self.replies)

    def handle_push(self, push) -> list[object]:
        """Return what this host replies to ``push``."""
        self.replies.clear()
        self.distribution.handle_push(push, self.send_reply)
        return list(self.replies)

    def send_reply(self, message) -> bool:
        self.replies.append(message)
        return True


class TestFetch:
    def test_fetches_one_revision_from_one_peer_at_a_time(self):
        host, first, second = DistributionHost("h1"), DistributionHost("h2"), DistributionHost("h3")
        fetch = [FetchVersions(Versions(Revision(0), SnapshotVersion(0)))]
        assert host.compare_versions(first, 5) == fetch
        assert host.compare_versions(second, 5) == []
        assert host.compare_versions(second, 6) == fetch
        host.clock.advance(Millis(FETCH_TIMEOUT + 1))
        assert host.compare_versions(first, 6) == fetch

    def test_does_not_fetch_what_it_has_or_refused(self):
        host, peer = DistributionHost("h1"), DistributionHost("h2")
        host.versions.offer_text(SMALL, Revision(5))
        host.versions.offer_text("{", Revision(7))
        assert (
            host.compare_versions(peer, 5)
            == host.compare_versions(peer, 7)
            == host.compare_versions(peer, 4)
            == []
        )
        assert host.compare_versions(peer, 6) != []

    def test_fetches_newer_catalogue_while_it_waits_for_a_text(self):
        host, peer = DistributionHost("h1"), DistributionHost("h2")
        assert host.compare_versions(peer, 5) != []
        assert host.compare_versions(peer, 0, catalogue=2) != []


class TestPush:
    def test_peer_updated_by_sections_announces_the_revision_once(self):
        host, peer = DistributionHost("h1"), DistributionHost("h2")
        for revision in (1, 2):
            host.versions.offer_text(edit(revision), Revision(revision))
        peer.versions.offer_text(edit(1), Revision(1))
        (push,) = host.answer_fetch(1)
        assert isinstance(push, SectionsPush)
        assert peer.handle_push(push) == []
        assert peer.versions.configuration == host.versions.configuration
        assert [message.versions.revision for message in peer.links.sent] == [2]
        assert peer.handle_push(push) == [] and len(peer.links.sent) == 1

    def test_fetches_again_if_sections_start_from_another_revision_or_text(self):
        host, peer = DistributionHost("h1"), DistributionHost("h2")
        for revision in (1, 2, 3):
            host.versions.offer_text(edit(revision), Revision(revision))
        peer.versions.offer_text(edit(9), Revision(1))
        assert [f.current.revision for f in peer.handle_push(host.answer_fetch(2)[0])] == [1]
        other = edit(9).replace('"orders": {}', '"orders": {"leaving": true}')
        peer.versions.offer_text(other, Revision(2))
        assert [f.current.revision for f in peer.handle_push(host.answer_fetch(2)[0])] == [0]
        (whole,) = host.answer_fetch(0)
        assert isinstance(whole, TextPush) and peer.handle_push(whole) == []
        assert peer.versions.configuration == host.versions.configuration

    def test_sends_newer_catalogue_as_published(self):
        host, peer = DistributionHost("h1"), DistributionHost("h2")
        text = '{"versions": [{"version": 4, "shards": {"desk/1": {"a": 1.0}}}]}'
        host.versions.offer_catalogue(text)
        assert host.answer_fetch(0) == [CataloguePush(text)]
        peer.handle_push(CataloguePush(text))
        assert peer.versions.versions().catalogue == 4

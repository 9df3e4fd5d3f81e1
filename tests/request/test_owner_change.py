"""Searches in which an owner refuses its part or is silent."""

import pytest

from masticgate import Millis, NotRun, QueryId, Rank, Reason, ServiceId, Step
from masticgate.request import Ask, Cancel, Hit, Hits, Query, Reply, run_search
from masticgate.version import read_catalogue
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

CATALOGUE = (
    '{"versions": [{"version": 1, "shards": {"ledger/1": {"l/0": 1.0}, "desk/1": {"d/0": 1.0}}}]}'
)


class TestOwnerChange:
    @pytest.mark.parametrize(
        "reason", [Reason.NO_CONFIGURATION, Reason.UNKNOWN_SERVICE, Reason.SHUTTING_DOWN]
    )
    def test_asks_next_owner_if_owner_refuses(self, reason):
        def respond(host, ask, deliver):
            for part in ask.parts:
                hits = Hits(1, part.shards, (Hit("x", 1.0, part.shards[0], "{}"),))
                failure = NotRun(reason, Step.QUEUE, peer=host)
                result = failure if host == "h0" else hits
                deliver(1.0, Reply(ask.query, part.service, result))

        runtime = ScriptedRuntime(SMALL, respond)
        runtime.catalogue = read_catalogue(CATALOGUE)
        services = (ServiceId("ledger/1"),)
        query = Query(QueryId("q"), Rank.URGENT, Millis(200.0), 0.5, services, "lamp", 10)
        assert run_search(query, runtime).whole
        assert [host for host, _ in runtime.sent] == ["h0", "h1"]

    def test_cancels_at_silent_owner_that_was_replaced(self):
        def respond(host, message, deliver):
            if isinstance(message, Ask) and host == "h1":
                for part in message.parts:
                    hits = Hits(1, part.shards, (Hit("x", 1.0, part.shards[0], "{}"),))
                    deliver(1.0, Reply(message.query, part.service, hits))

        runtime = ScriptedRuntime(SMALL, respond)
        runtime.silent = {"h0"}
        runtime.catalogue = read_catalogue(CATALOGUE)
        services = (ServiceId("ledger/1"),)
        query = Query(QueryId("q"), Rank.URGENT, Millis(200.0), 0.5, services, "lamp", 10)
        assert run_search(query, runtime).whole
        assert [host for host, message in runtime.sent if isinstance(message, Cancel)] == ["h0"]

"""Tests for a request that is sent to one searcher of a service."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import ServiceId
from masticgate.request.gateway import Abandoned, Failed, Refused, Relayed, run_forward
from masticgate.version.gateway import Idempotency

from .fakes import ScriptedUpstream, SlowConnect, make_request, make_route


def forward(
    script: ScriptedUpstream,
    kind: Idempotency = Idempotency.IDEMPOTENT,
    caller_timeout: float = 400.0,
):
    route = make_route(kind=kind)
    return run_forward(
        make_request(caller_timeout=caller_timeout), route, ServiceId("orders"), script, script
    )


class TestForward:
    def test_forwards_answer_unchanged(self):
        reply = forward(ScriptedUpstream({"orders": [(5, b"order")]}))
        assert isinstance(reply, Relayed) and reply.answer.body == b"order"

    def test_forwards_searcher_failure_after_second_attempt(self):
        script = ScriptedUpstream({"orders": [(5, 500), (5, 500)]})
        reply = forward(script)
        assert isinstance(reply, Relayed) and reply.answer.status == 500
        assert len(script.sent_calls) == 2

    def test_repeats_idempotent_request_whose_answer_was_lost(self):
        reply = forward(ScriptedUpstream({"orders": [(5, "lost"), (5, b"again")]}))
        assert isinstance(reply, Relayed) and reply.answer.body == b"again"

    def test_failure_states_why_request_was_not_repeated(self):
        reply = forward(ScriptedUpstream({"orders": [(5, "lost"), (5, b"again")]}, repeats=0))
        assert isinstance(reply, Failed) and reply.status == 502
        assert "repeat not run: budget" in reply.failure.detail

    def test_caller_timeout_ends_wait(self):
        script = ScriptedUpstream({"orders": [(0, "silent"), (0, "silent")]})
        reply = forward(script, caller_timeout=150.0)
        assert isinstance(reply, Failed) and reply.status == 504
        assert script.now() == 150.0
        assert all(sent_call.cancel_requested for sent_call in script.sent_calls)

    def test_caller_disconnect_cancels_attempt(self):
        script = ScriptedUpstream({"orders": [(50, b"late")]})
        script.disconnects_at = 10.0
        assert isinstance(forward(script), Abandoned)
        assert script.sent_calls[0].cancel_requested


@pytest.mark.parametrize("kind", Idempotency)
class TestSlowConnect:
    """Guard against giving up a searcher whose connection is still opening when a hedge is due."""

    def test_keeps_attempt_if_there_is_no_other_searcher(self, kind):
        script = ScriptedUpstream({"orders": [(35, SlowConnect(b"order"))]})
        reply = forward(script, kind)
        assert isinstance(reply, Relayed) and reply.answer.body == b"order"

    def test_replaces_attempt_by_one_at_another_searcher(self, kind):
        script = ScriptedUpstream({"orders": [(300, SlowConnect(b"slow")), (5, b"fast")]})
        reply = forward(script, kind)
        assert isinstance(reply, Relayed) and reply.answer.body == b"fast"
        assert script.now() == 25.0
        assert script.sent_calls[0].cancel_requested

    def test_withdrawn_attempt_does_not_count_towards_limit_of_route(self, kind):
        """Guard against a refusal after one attempt, while a searcher that was slow is up."""
        plan = [(300, SlowConnect(b"slow")), (2, "unsent"), (5, b"third")]
        reply = forward(ScriptedUpstream({"orders": plan}), kind)
        assert isinstance(reply, Relayed) and reply.answer.body == b"third"


class TestAtMostOnce:
    """Requests that are not idempotent, which may run only once."""

    def test_never_repeats_request_whose_answer_was_lost(self):
        script = ScriptedUpstream({"orders": [(5, "lost"), (5, b"again")]})
        reply = forward(script, Idempotency.NON_IDEMPOTENT)
        assert isinstance(reply, Failed) and reply.status == 502
        assert len(script.sent_calls) == 1

    def test_is_never_hedged(self):
        script = ScriptedUpstream({"orders": [(200, b"slow"), (5, b"again")]})
        forward(script, Idempotency.NON_IDEMPOTENT)
        assert len(script.sent_calls) == 1

    @pytest.mark.parametrize("outcome", ["declined", "unsent"])
    def test_retries_attempt_that_did_not_run_at_another_searcher(self, outcome):
        script = ScriptedUpstream({"orders": [(5, outcome), (5, b"ran")]})
        reply = forward(script, Idempotency.NON_IDEMPOTENT)
        assert isinstance(reply, Relayed) and reply.answer.body == b"ran"

    def test_request_declined_by_all_searchers_is_refused_as_not_run(self):
        script = ScriptedUpstream({"orders": [(5, "declined"), (5, "declined")]})
        reply = forward(script, Idempotency.NON_IDEMPOTENT)
        assert isinstance(reply, Refused) and reply.status == 503

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_does_not_forward_status_that_means_not_run(self, status):
        reply = forward(ScriptedUpstream({"orders": [(5, status)]}), Idempotency.NON_IDEMPOTENT)
        assert isinstance(reply, Failed) and reply.status == 502

    @settings(deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 500),
                st.sampled_from([b"x", "declined", "lost", "unsent", "silent", 500, 503]),
            ),
            max_size=4,
        ),
        st.integers(0, 3),
    )
    def test_runs_at_most_once_and_refusal_means_not_run(self, plan, repeats):
        script = ScriptedUpstream({"orders": list(plan)}, repeats)
        reply = forward(script, Idempotency.NON_IDEMPOTENT)
        may_have_run = [
            outcome
            for (_, outcome), _ in zip(plan, script.sent_calls, strict=False)
            if outcome not in ("declined", "unsent")
        ]
        assert len(may_have_run) <= 1
        if isinstance(reply, Refused):
            assert not may_have_run

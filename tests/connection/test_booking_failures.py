"""Failed requests to a searcher, which count as not run or have an unknown outcome."""

from types import SimpleNamespace

import pytest

from masticgate import NotRun, Unknown
from masticgate.connection._http_connection import HttpFailure, HttpReply
from masticgate.connection._searcher import _read_failure

ATTEMPT = SimpleNamespace(searcher="oa", aborted=False)


class TestReadFailure:
    @pytest.mark.parametrize("reason", ["draining", "shed", "cold"])
    def test_returns_not_run_for_reason_that_says_so(self, reason):
        body = f'{{"reason": "{reason}"}}'.encode()
        assert isinstance(_read_failure(HttpReply(503, body), ATTEMPT), NotRun)

    @pytest.mark.parametrize(
        "reply",
        [
            HttpReply(503, b'{"reason": "gateway"}'),
            HttpReply(409, b"{}"),
            HttpReply(429, b"<html>"),
            HttpReply(500, b'{"reason": "shed"}'),
            HttpReply(404, b""),
            HttpFailure(True, "closed"),
        ],
    )
    def test_returns_unknown_for_any_other_response(self, reply):
        assert isinstance(_read_failure(reply, ATTEMPT), Unknown)

    def test_returns_not_run_if_nothing_was_sent(self):
        assert isinstance(_read_failure(HttpFailure(False, "refused"), ATTEMPT), NotRun)

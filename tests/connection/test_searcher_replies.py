"""What a searcher's reply proves of a booking."""

from types import SimpleNamespace

import pytest

from masticgate import NotRun, Unknown
from masticgate.connection._http_connection import HttpFailure, HttpReply
from masticgate.connection._searcher import _read_failure

SEND = SimpleNamespace(searcher="oa", aborted=False)


class TestReadFailure:
    @pytest.mark.parametrize("word", ["draining", "shed", "cold"])
    def test_trusts_the_searchers_own_word(self, word):
        body = f'{{"reason": "{word}"}}'.encode()
        assert isinstance(_read_failure(HttpReply(503, body), SEND), NotRun)

    @pytest.mark.parametrize(
        "reply",
        [
            HttpReply(503, b'{"reason": "gateway"}'),
            HttpReply(409, b"{}"),
            HttpReply(429, b"<html>"),
            HttpReply(500, b'{"reason": "shed"}'),
            HttpReply(404, b""),
            HttpFailure(True, "cut"),
        ],
    )
    def test_takes_any_other_word_as_unknown(self, reply):
        assert isinstance(_read_failure(reply, SEND), Unknown)

    def test_knows_that_nothing_ran_where_no_byte_left(self):
        assert isinstance(_read_failure(HttpFailure(False, "refused"), SEND), NotRun)

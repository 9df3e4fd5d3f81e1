"""Texts for the log about the shards that are missing from an answer, and irregular answers.

An answer is irregular if only the end of the connection marked its end, or if other answers were
skipped before it.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from itertools import chain, islice

from ...version.gateway import Shards
from ._attempts import Attempts
from ._exchange import Answered
from ._parts import PartAttempts

MAX_LOGGED_SHARDS = 4
"""The maximum number of missing shards, and of irregular answers, described in a log line."""


def describe_missing(
    missing: Sequence[int],
    shards: Shards,
    unanswered: Mapping[int, Attempts],
    parts: Iterable[PartAttempts],
    unavailable: Collection[int],
) -> tuple[str, ...]:
    """Return why some of the shards at the positions in ``missing`` have not answered.

    ``unanswered`` has the attempts for the shards that are gathered here, ``parts`` those that
    other gateways have not answered, and ``unavailable`` the shards without an answer to these.
    """
    causes = chain(
        (
            unanswered[position].describe_missing_answer()
            for position in missing
            if position in unanswered
        ),
        (attempts.describe_missing_answer() for attempts in parts),
        (
            f"{shards.services[position]}: not answered to its gatherer"
            for position in missing
            if position in unavailable
        ),
    )
    return tuple(islice(causes, MAX_LOGGED_SHARDS))


def describe_irregular(answers: Iterable[Answered]) -> tuple[str, ...]:
    """Return how some of the irregular ``answers`` were received."""
    irregular = (answer for answer in answers if not answer.receive_info.is_regular)
    return tuple(f"{a.searcher}: {a.receive_info}" for a in islice(irregular, MAX_LOGGED_SHARDS))

"""Bytes of a searcher that do not belong to the response to a call."""

from dataclasses import dataclass

from ..._ids import RequestId


@dataclass(frozen=True, slots=True)
class SkippedResponse:
    """A complete response arrived that is not the expected one; it is skipped.

    Its id is missing or differs, or it has more than one id or stamp.
    """

    response_id: RequestId
    expected_id: RequestId


@dataclass(frozen=True, slots=True)
class UnrequestedBytes:
    """Bytes arrived while the connection had no call; the connection is closed."""

    count: int


@dataclass(frozen=True, slots=True)
class TrailingBytes:
    """More bytes arrived together with a complete response; the connection is closed."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class OversizedResponse:
    """A response exceeds a limit before its end; the connection is closed.

    ``count`` is the number of received bytes, and ``detail`` names the limit.
    """

    count: int
    detail: str


ProtocolViolation = SkippedResponse | UnrequestedBytes | TrailingBytes | OversizedResponse

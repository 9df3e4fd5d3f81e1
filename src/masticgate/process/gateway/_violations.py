"""Logs and counts bytes of searchers that do not belong to the response to a call."""

from ...connection.gateway import (
    OversizedResponse,
    ProtocolViolation,
    SearcherTask,
    SkippedResponse,
    TrailingBytes,
    UnrequestedBytes,
)
from ._log import EventLog, LogEvent
from ._metrics import Metrics


def record_violation(
    task: SearcherTask, violation: ProtocolViolation, log: EventLog, metrics: Metrics
) -> None:
    """Log and count one violation on the connection of ``task``."""
    fields: dict[str, object] = {"searcher": task.searcher, "connection": task.number}
    match violation:
        case SkippedResponse(response_id=response_id, expected_id=expected):
            metrics.count("answer_skipped")
            event = LogEvent.ANSWER_SKIPPED
            fields |= {"answered": response_id, "request": expected}
        case UnrequestedBytes(count=number):
            metrics.count("bytes_unrequested")
            event = LogEvent.BYTES_UNREQUESTED
            fields |= {"bytes": number}
        case OversizedResponse(count=number, detail=detail):
            metrics.count("answer_oversized")
            event = LogEvent.ANSWER_OVERSIZED
            fields |= {"bytes": number, "detail": detail}
        case TrailingBytes(request=request):
            metrics.count("bytes_trailing")
            event = LogEvent.BYTES_TRAILING
            fields |= {"request": request}
    log.write(event, **fields)

"""Logging: one line for each change of state, none for a request."""

import sys

from logbook import Logger, StreamHandler

from ._settings import Settings
from ._timeline import Event

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.extra[host]} "
    "{record.extra[kind]} {record.message}"
)

logger = Logger("masticgate")


def start_logs(settings: Settings) -> None:
    """Log at the level in the settings and above to standard error, with times in UTC."""
    handler = StreamHandler(sys.stderr, level=settings.log_level.upper(), bubble=False)
    handler.format_string = FORMAT
    handler.push_application()


def log_event(event: Event) -> None:
    """Write the log line of ``event``."""
    text = f"{event.subject}: {event.detail}" if event.detail else event.subject
    logger.info(text, extra={"host": event.host, "kind": event.kind.value})

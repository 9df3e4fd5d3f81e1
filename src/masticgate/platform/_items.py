"""Decodes the items in the platform's store: the configuration and the searchers' listings."""

from base64 import b64decode
from typing import Any

from .._fields import FieldError, Fields, decode_json, is_header_text
from .._ids import Address, FailureDomainId, Millis, SearcherId, ServiceId
from ..connection.gateway import parse_address
from ..process.gateway import (
    Change,
    PublishedConfiguration,
    SearcherEntry,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    UnreadableItem,
)
from ..version.gateway import MAX_COLD_TIME, MAX_SLOTS
from ._configuration import decode_configuration
from ._names import CONFIGURATION_KEY, SEARCHERS_PREFIX

PHASES = {"ready": SearcherPhase.READY, "draining": SearcherPhase.DRAINING}


def decode_item(item: Any) -> Change | None:
    """Return the change that one item or one event of a watch describes.

    Return ``None`` for a key that is neither the configuration nor a listing, and for the removal
    of the configuration.
    """
    if not isinstance(item, dict) or not is_header_text(item.get("key")):
        return UnreadableItem("", "an item without a valid key")
    key = item["key"]
    if key.startswith(SEARCHERS_PREFIX):
        return _decode_searcher(key, item)
    if key == CONFIGURATION_KEY and not item.get("removed"):
        return _decode_published(key, item)
    return None


def _decode_published(key: str, item: dict[str, Any]) -> Change:
    try:
        return PublishedConfiguration(decode_configuration(_decode_value(item)))
    except FieldError as error:
        return UnreadableItem(key, str(error))


def _decode_searcher(key: str, item: dict[str, Any]) -> Change:
    searcher = SearcherId(key.removeprefix(SEARCHERS_PREFIX))
    if item.get("removed"):
        return SearcherUnlisted(searcher)
    try:
        return SearcherListed(_decode_entry(searcher, Fields.of("entry", _decode_value(item))))
    except FieldError as error:
        return UnreadableItem(key, str(error), searcher)


def _decode_entry(searcher: SearcherId, fields: Fields) -> SearcherEntry:
    # The version and the sequence are not used, but a listing without them is invalid.
    fields.text("version")
    fields.integer("sequence", 0)
    phase = PHASES.get(fields.text("state"))
    if phase is None:
        raise fields.error("state", "'ready' or 'draining'")
    return SearcherEntry(
        id=searcher,
        service=ServiceId(fields.text("service")),
        address=_decode_address(fields),
        domain=FailureDomainId(fields.text("zone")),
        slots=fields.integer("slots", 1, MAX_SLOTS),
        phase=phase,
        cold=Millis(fields.number("coldRemainingMs", maximum=MAX_COLD_TIME)),
        born=fields.integer("born", 0) if "born" in fields.values else 0,
    )


def _decode_address(fields: Fields) -> Address:
    address = parse_address(fields.values.get("address"))
    if address is None:
        raise fields.error("address", "an IPv4 address and a port")
    return address


def _decode_value(item: dict[str, Any]) -> Any:
    value = item.get("value")
    if not isinstance(value, str):
        raise FieldError("item.value: must be a string")
    try:
        data = b64decode(value, validate=True)
    except ValueError as error:
        raise FieldError(f"item.value: must be standard base64: {error}") from error
    return decode_json(data)

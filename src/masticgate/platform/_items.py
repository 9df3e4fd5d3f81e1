"""Decodes the items in the platform's store: the configuration and the searchers' listings."""

from base64 import b64decode
from typing import Any

from .._fields import FieldError, Fields, decode_json, is_header_text, is_name
from .._ids import Address, FailureDomainId, Millis, SearcherId, ServiceId
from ..connection.gateway import parse_address
from ..process.gateway import (
    Change,
    DomainEvacuated,
    EvacuationEnded,
    PublishedConfiguration,
    SearcherEntry,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    UnreadableItem,
)
from ..version.gateway import MAX_COLD_TIME, MAX_SLOTS
from ._configuration import decode_configuration
from ._names import CONFIGURATION_KEY, EVACUATIONS_PREFIX, SEARCHERS_PREFIX

PHASES = {"ready": SearcherPhase.READY, "draining": SearcherPhase.DRAINING}

MAX_SHOWN_CHARACTERS = 100
"""A message quotes at most this much of a key that is invalid."""


def decode_item(item: Any) -> Change | None:
    """Return the change that one item or one event of a watch describes.

    Return ``None`` for any other key than those of the configuration, of the listings and of the
    evacuations, and for the removal of the configuration.
    """
    key = item.get("key") if isinstance(item, dict) else None
    if isinstance(key, str) and key.startswith(EVACUATIONS_PREFIX):
        return _decode_evacuation(key, item)
    if not isinstance(key, str) or not is_header_text(key):
        return UnreadableItem("", "an item without a valid key")
    if key.startswith(SEARCHERS_PREFIX):
        return _decode_searcher(key, item)
    if key == CONFIGURATION_KEY and not item.get("removed"):
        return _decode_published(key, item)
    return None


def _decode_evacuation(key: str, item: dict[str, Any]) -> Change:
    """Return what the item of an evacuation says; its value says nothing, readable or not.

    A name that no listing can state as the domain of its searcher evacuates nothing. It is not the
    configuration's key either, so that the result names no key.
    """
    domain = key.removeprefix(EVACUATIONS_PREFIX)
    if not is_name(domain):
        shown = key[:MAX_SHOWN_CHARACTERS].encode("ascii", "backslashreplace").decode()
        return UnreadableItem("", f"{shown!r}: not the name of a failure domain")
    if item.get("removed"):
        return EvacuationEnded(FailureDomainId(domain))
    try:
        Fields.of("evacuation", _decode_value(item))
    except FieldError as error:
        return DomainEvacuated(FailureDomainId(domain), str(error))
    return DomainEvacuated(FailureDomainId(domain))


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
    # The version is not used, but a listing without it is invalid.
    fields.text("version")
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
        born=fields.counter("born", default=0),
        sequence=fields.counter("sequence"),
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

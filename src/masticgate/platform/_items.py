"""Decodes the items in the platform's store: the configuration and the searchers' listings."""

import json
from base64 import b64decode
from ipaddress import IPv4Address
from typing import Any

from .._ids import Address, FailureDomainId, Millis, SearcherId, ServiceId
from ..process.gateway import (
    Change,
    PublishedConfiguration,
    SearcherEntry,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    UnreadableItem,
)
from ._configuration import decode_configuration
from ._fields import FieldError, Fields
from ._names import CONFIGURATION_KEY, SEARCHERS_PREFIX

PHASES = {"ready": SearcherPhase.READY, "draining": SearcherPhase.DRAINING}


def decode_item(item: Any) -> Change | None:
    """Return the change that one item or one event of a watch describes.

    Return ``None`` for a key that is neither the configuration nor a listing, and for the removal
    of the configuration.
    """
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return UnreadableItem("", "an item without a key")
    key = item["key"]
    if key.startswith(SEARCHERS_PREFIX):
        return _decode_searcher(key, item)
    if key == CONFIGURATION_KEY and not item.get("removed"):
        return _decode_published(key, item)
    return None


def _decode_published(key: str, item: dict[str, Any]) -> Change:
    try:
        return PublishedConfiguration(decode_configuration(_decode_value(item)))
    except (FieldError, ValueError) as error:
        return UnreadableItem(key, str(error))


def _decode_searcher(key: str, item: dict[str, Any]) -> Change:
    searcher = SearcherId(key.removeprefix(SEARCHERS_PREFIX))
    if item.get("removed"):
        return SearcherUnlisted(searcher)
    try:
        return SearcherListed(_decode_entry(searcher, Fields.of("entry", _decode_value(item))))
    except (FieldError, ValueError) as error:
        return UnreadableItem(key, str(error), searcher)


def _decode_entry(searcher: SearcherId, fields: Fields) -> SearcherEntry:
    # The version and the sequence are not used, but a listing without them is invalid.
    fields.text("version")
    fields.integer("sequence")
    phase = PHASES.get(fields.text("state"))
    if phase is None:
        raise fields.error("state", "'ready' or 'draining'")
    slots = fields.integer("slots")
    if slots < 1:
        raise fields.error("slots", "a positive number")
    return SearcherEntry(
        id=searcher,
        service=ServiceId(fields.text("service")),
        address=_decode_address(fields),
        domain=FailureDomainId(fields.text("zone")),
        slots=slots,
        phase=phase,
        cold=Millis(fields.number("coldRemainingMs")),
        born=fields.integer("born") if "born" in fields.values else 0,
    )


def _decode_address(fields: Fields) -> Address:
    text = fields.text("address")
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise fields.error("address", "an IPv4 address and a port")
    return Address(text)


def _decode_value(item: dict[str, Any]) -> Any:
    value = item.get("value")
    if not isinstance(value, str):
        raise FieldError("item.value: must be a string")
    return json.loads(b64decode(value, validate=True))

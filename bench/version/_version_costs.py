"""Measures the costs to accept a configuration, to relay it and to compute its owner table.

A configuration text is divided into sections. A delta is the message with the sections that changed
between two revisions. The owner table assigns the services to hosts.
"""

import tracemalloc

from masticgate import HostId, Revision
from masticgate.connection import encode_message
from masticgate.version import owner_table, split_sections

from ._scaled_text import accept_configuration, scaled_text

COPIES = [1, 2, 4]
"""Sizes of the text, in copies of the deployment kerala."""

HOST_COUNTS = [7, 70, 700, 3300]


def text_sizes() -> list[float]:
    """Return the number of searchers in each text."""
    return [float(count_searchers(copies)) for copies in COPIES]


def count_searchers(copies: int) -> int:
    """Return the number of searchers in the text of ``copies`` copies."""
    configuration = accept_configuration(scaled_text(copies))
    return sum(len(service.searchers) for service in configuration.services.values())


def text_bytes() -> list[float]:
    """Return the number of bytes of each text."""
    return [float(len(scaled_text(copies))) for copies in COPIES]


def accept_calls() -> list:
    """Return one call for each text; each accepts the text and divides it into sections."""
    texts = [scaled_text(copies) for copies in COPIES]
    return [lambda text=text: split_sections(accept_configuration(text)).digest for text in texts]


def delta_calls() -> list:
    """Return one call for each text; each finds and encodes the delta of one edit."""
    return [lambda call=call: encode_message(call()) for call in map(_delta_call, COPIES)]


def delta_bytes() -> list[float]:
    """Return the encoded size in bytes of the delta of one edit, for each text."""
    return [float(len(encode_message(_delta_call(copies)()))) for copies in COPIES]


def _delta_call(copies: int):
    """Return a call that finds the delta of one edit."""
    before = split_sections(accept_configuration(scaled_text(copies)))
    after = split_sections(accept_configuration(scaled_text(copies, edited=True)))
    known = before.digests
    after.digests  # noqa: B018  Not part of the cost: a host computes them once for each revision.
    return lambda: after.changes_since(Revision(1), known, Revision(2))


def apply_calls() -> list:
    """Return one call for each text; each applies the delta of one edit and accepts the result."""
    calls = []
    for copies in COPIES:
        push = _delta_call(copies)()
        before = split_sections(accept_configuration(scaled_text(copies)))
        calls.append(lambda push=push, before=before: _apply_and_accept(before, push))
    return calls


def _apply_and_accept(before, push) -> None:
    sections = before.apply(push)
    assert sections is not None
    text = sections.to_text()
    assert text is not None
    split_sections(accept_configuration(text, 2)).digest  # noqa: B018


def table_calls() -> list:
    """Return one call for each number of hosts; each computes the owner table."""
    configuration = accept_configuration(scaled_text(1))
    hosts = [[HostId(f"host-{n:04}") for n in range(count)] for count in HOST_COUNTS]
    return [
        lambda table_hosts=table_hosts: owner_table(configuration, table_hosts)
        for table_hosts in hosts
    ]


def department_counts() -> list[float]:
    """Return the number of departments in each text."""
    return [float(len(accept_configuration(scaled_text(copies)).departments)) for copies in COPIES]


def wide_table_calls() -> list:
    """Return one call for each text; each computes its owner table for the most hosts measured."""
    hosts = [HostId(f"host-{n:04}") for n in range(max(HOST_COUNTS))]
    configurations = [accept_configuration(scaled_text(copies)) for copies in COPIES]
    return [
        lambda configuration=configuration: owner_table(configuration, hosts)
        for configuration in configurations
    ]


def service_counts() -> list[float]:
    """Return the number of services in each text."""
    return [float(len(accept_configuration(scaled_text(copies)).services)) for copies in COPIES]


def table_memory() -> list[float]:
    """Return the bytes of memory of each text's owner table for the most hosts measured."""
    return [_table_held_bytes(copies) for copies in COPIES]


def _table_held_bytes(copies: int) -> float:
    configuration = accept_configuration(scaled_text(copies))
    hosts = [HostId(f"host-{n:04}") for n in range(max(HOST_COUNTS))]
    tracemalloc.start()
    table = owner_table(configuration, hosts)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert table
    return float(held)


def text_memory() -> list[float]:
    """Return the bytes of memory that each accepted text uses, its sections included."""
    return [_text_held_bytes(copies) for copies in COPIES]


def _text_held_bytes(copies: int) -> float:
    text = scaled_text(copies)
    tracemalloc.start()
    configuration = accept_configuration(text)
    sections = split_sections(configuration)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del configuration, sections
    return float(held)

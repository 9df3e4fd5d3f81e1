"""What a configuration costs: to accept, to pass on, to place."""

import tracemalloc

from masticgate import HostId, Revision
from masticgate.connection import encode_message
from masticgate.version import owner_table, split_sections

from ._scaled_text import accept_configuration, scaled_text

COPIES = [1, 2, 4]
HOST_COUNTS = [7, 70, 700, 3300]


def text_sizes() -> list[float]:
    """Return the searchers in each text."""
    return [float(count_searchers(copies)) for copies in COPIES]


def count_searchers(copies: int) -> int:
    configuration = accept_configuration(scaled_text(copies))
    return sum(len(service.searchers) for service in configuration.services.values())


def text_bytes() -> list[float]:
    """Return the bytes of each text."""
    return [float(len(scaled_text(copies))) for copies in COPIES]


def accept_calls() -> list:
    """Return one call for each size that accepts a whole text and cuts it into sections."""
    texts = [scaled_text(copies) for copies in COPIES]
    return [lambda text=text: split_sections(accept_configuration(text)).digest for text in texts]


def delta_calls() -> list:
    """Return one call for each size that finds and encodes one edit's changed sections."""
    return [lambda push=push: encode_message(push()) for push in map(_delta, COPIES)]


def delta_bytes() -> list[float]:
    """Return the bytes on the wire of one edit's changed sections."""
    return [float(len(encode_message(_delta(copies)()))) for copies in COPIES]


def _delta(copies: int):
    before = split_sections(accept_configuration(scaled_text(copies)))
    after = split_sections(accept_configuration(scaled_text(copies, edited=True)))
    known = before.digests
    after.digests  # noqa: B018  The digests are worked out once a revision.
    return lambda: after.changes_since(Revision(1), known, Revision(2))


def apply_calls() -> list:
    """Return one call for each size that applies one edit to the whole text and accepts it."""
    calls = []
    for copies in COPIES:
        push = _delta(copies)()
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
    """Return one call for each number of hosts that works out who owns what."""
    configuration = accept_configuration(scaled_text(1))
    hosts = [[HostId(f"host-{n:04}") for n in range(count)] for count in HOST_COUNTS]
    return [
        lambda table_hosts=table_hosts: owner_table(configuration, table_hosts)
        for table_hosts in hosts
    ]


def department_counts() -> list[float]:
    """Return the departments in each text."""
    return [float(len(accept_configuration(scaled_text(copies)).departments)) for copies in COPIES]


def wide_table_calls() -> list:
    """Return one call for each text that works out who of the most hosts owns what."""
    hosts = [HostId(f"host-{n:04}") for n in range(max(HOST_COUNTS))]
    configurations = [accept_configuration(scaled_text(copies)) for copies in COPIES]
    return [
        lambda configuration=configuration: owner_table(configuration, hosts)
        for configuration in configurations
    ]


def service_counts() -> list[float]:
    """Return the services in each text."""
    return [float(len(accept_configuration(scaled_text(copies)).services)) for copies in COPIES]


def table_memory() -> list[float]:
    """Return the bytes that each text's owner table holds on to."""
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
    """Return the bytes that each text holds on to once accepted, its sections included."""
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

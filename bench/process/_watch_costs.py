"""Measures the processor time of a watcher's reads of the platform."""

import json

from tests.standins.fleet import Fleet
from tests.texts import SMALL

from bench.version import HOST_COUNTS, scaled_text
from masticgate import Address, Unknown
from masticgate.connection import PlatformReader, Value

from ._host_costs import idle_host
from ._slope import Slope
from ._stopwatch import cpu_micros

COPIES = [1, 2, 4]
"""Sizes of the text, in copies of a real deployment."""

REPEATS = 3


def measure_watch() -> tuple[Slope, Slope, Slope]:
    """Return the costs of reading a watched value and a host list, and the size of the list."""
    with Fleet(SMALL, hosts=0) as fleet:
        address = Address(fleet.platform_address)
        reader = PlatformReader(address, address)
        try:
            return _value_slope(fleet, reader), *_host_list_slopes(fleet, reader)
        finally:
            reader.close()


def _value_slope(fleet: Fleet, reader: PlatformReader) -> Slope:
    sizes, values = [], []
    for copies in COPIES:
        text, key = scaled_text(copies), f"slopes/{copies}"
        fleet.control_platform("put", key=key, value=text)

        def read(key: str = key) -> None:
            assert isinstance(reader.read(key), Value)

        sizes.append(len(text) / 1000)
        values.append(cpu_micros(read, REPEATS))
    return Slope("watch answered", "us", "kB of value", sizes, values)


def _host_list_slopes(fleet: Fleet, reader: PlatformReader) -> tuple[Slope, Slope]:
    host = idle_host(SMALL)
    values, lengths = [], []
    for count in HOST_COUNTS:
        hosts = [_listed_host(number) for number in range(count)]
        fleet.publish_hosts(hosts)

        def read() -> None:
            listed = reader.list_hosts()
            assert not isinstance(listed, Unknown)
            host.distribution._handle_hosts(listed)

        read()
        values.append(cpu_micros(read, REPEATS))
        lengths.append(float(len(json.dumps({"hosts": hosts}))))
    sizes = [float(count) for count in HOST_COUNTS]
    return (
        Slope("host list read", "us", "host", sizes, values),
        Slope("host list", "bytes", "host", sizes, lengths),
    )


def _listed_host(number: int) -> dict[str, str]:
    return {
        "host": f"host-{number:04}",
        "address": f"127.0.0.1:{7000 + number}",
        "failure_domain": "north-1",
    }

"""Metrics: counters, timers and gauges, and how statsd receives them."""

import socket

from masticgate import Millis
from masticgate.process import Settings
from masticgate.process._metrics import MAX_TIMINGS, Metrics


def metrics_to(port: int) -> Metrics:
    """Return metrics that are sent to a statsd at ``port``."""
    return Metrics(
        Settings.model_validate(
            {
                "host": "h1",
                "failure_domain": "north",
                "caller_address": "127.0.0.1:1",
                "peer_address": "127.0.0.1:2",
                "platform": {"configuration": "127.0.0.1:3", "hosts": "127.0.0.1:3"},
                "statsd": {"address": f"127.0.0.1:{port}"},
            }
        )
    )


class TestMetrics:
    def test_sends_counters_timers_and_gauges_under_the_host_id(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(5)
            metrics = metrics_to(receiver.getsockname()[1])
            metrics.count("search.urgent.whole", 3)
            metrics.time("search.urgent.ms", Millis(12.5))
            metrics.set_gauge("queue.bulk", 7)
            metrics.flush()
            packet = receiver.recv(65536).decode()
        assert "masticgate.h1.search.urgent.whole:3|c" in packet
        assert "masticgate.h1.search.urgent.ms:12.5" in packet
        assert "masticgate.h1.queue.bulk:7|g" in packet

    def test_sends_each_increment_once_and_keeps_the_totals(self):
        metrics = metrics_to(9)
        metrics.count("x")
        metrics.flush()
        assert not metrics.unsent and metrics.read_totals() == {"x": 1}

    def test_keeps_a_bounded_number_of_timings(self):
        metrics = metrics_to(9)
        for _ in range(MAX_TIMINGS * 2):
            metrics.time("x", Millis(1.0))
        assert len(metrics.timings["x"]) == MAX_TIMINGS

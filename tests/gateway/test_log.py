"""Tests for the log lines and metrics of a gateway."""

import json
import os
import threading

from masticgate import ManualClock, Millis
from masticgate._ids import HostId
from masticgate.process.gateway._log import (
    MAX_LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    MAX_VALUE_LENGTH,
    EventLog,
    LogEvent,
)
from masticgate.process.gateway._metrics import Metrics


class TestEventLog:
    def test_line_is_json_object_with_host_and_event(self):
        reader, writer = os.pipe()
        log = EventLog(HostId("g1"), ManualClock(), writer)
        log.write(LogEvent.REQUEST, request="q1", outcome="whole")
        log.stop()
        log.run()
        line = json.loads(os.read(reader, 4096))
        assert (line["host"], line["event"], line["request"]) == ("g1", "request", "q1")

    # Guards against a queue of lines that each hold an id of many kilobytes, as a caller sent it.
    def test_cuts_long_texts(self):
        log = EventLog(HostId("g1"), ManualClock())
        log.write(LogEvent.REQUEST, request="q" * 16_000, detail="d" * MAX_VALUE_LENGTH)
        line = json.loads(log.queue[0])
        assert line["request"] == "q" * MAX_VALUE_LENGTH + "..."
        assert line["detail"] == "d" * MAX_VALUE_LENGTH

    def test_full_pipe_does_not_block_writers(self):
        _, writer = os.pipe()
        clock = ManualClock()
        log = EventLog(HostId("g1"), clock, writer)
        threading.Thread(target=log.run, daemon=True).start()
        for _ in range(200):
            clock.advance(Millis(1_001.0))
            for _ in range(MAX_LINES_PER_SECOND):
                log.write(LogEvent.REQUEST, request="q" * 200)
            log.wake()
        # The limit does not apply to the counts of dropped lines, at most one line per window.
        assert len(log.queue) <= MAX_QUEUED_LINES + 200

    def test_limits_lines_of_one_event_and_counts_dropped_lines(self):
        clock = ManualClock()
        log = EventLog(HostId("g1"), clock)
        for _ in range(MAX_LINES_PER_SECOND + 25):
            log.write(LogEvent.REQUEST, request="q")
        log.write(LogEvent.PLATFORM_LOST)
        clock.advance(Millis(1_001.0))
        log.write(LogEvent.REQUEST, request="q")
        dropped = [json.loads(line) for line in log.queue if '"dropped"' in line]
        assert [line["request"] for line in dropped] == [25]
        assert any('"platform_lost"' in line for line in log.queue)


class TestMetrics:
    def test_renders_counters_gauges_and_histograms(self):
        metrics = Metrics()
        metrics.count("repeats", 3)
        metrics.set_gauge("tasks", 12)
        metrics.record_request("rank0", "whole", Millis(11.0))
        metrics.record_request("rank0", "whole", Millis(9_000.0))
        lines = metrics.render().decode().splitlines()
        assert "masticgate_repeats_total 3" in lines
        assert "masticgate_tasks 12" in lines
        name = 'masticgate_request_ms_bucket{kind="rank0",outcome="whole",le='
        assert f'{name}"10"}} 0' in lines and f'{name}"15"}} 1' in lines
        assert f'{name}"+Inf"}} 2' in lines
        assert 'masticgate_request_ms_count{kind="rank0",outcome="whole"} 2' in lines

"""Tests of what a process uses of its limited resources, and of when it says so."""

import errno
import os
from dataclasses import replace
from types import SimpleNamespace

import pytest

from masticgate.process.gateway import HostCapacity, _process_files
from masticgate.process.gateway._process_files import ProcessFiles
from masticgate.process.gateway._usage import (
    Crossing,
    LimitWatch,
    ProcessUse,
    Resource,
    Use,
)

CAPACITY = HostCapacity(1.0, 1_000.0, memory=300_000_000, descriptors=2_000)
IDLE = ProcessUse(
    memory=Use(20, 100),
    memory_peak=20,
    address_space=Use(400, None),
    descriptors=Use(10, 100),
    threads=Use(8, 100),
)


def use_memory(used: int | None) -> ProcessUse:
    return replace(IDLE, memory=Use(used, 100))


class TestLimitWatch:
    def test_reports_crossing_once_and_end_with_hysteresis(self):
        """Guard against a line for each round while a use stays near its limit."""
        watch = LimitWatch()
        reported = [
            [crossing.is_near for crossing in watch.update(use_memory(used))]
            for used in (79, 80, 95, 79, 75, 79, 74, 79, 80)
        ]
        assert reported == [[], [True], [], [], [], [], [False], [], [True]]

    @pytest.mark.parametrize("resource", Resource)
    def test_watches_each_resource_beside_its_limit(self, resource):
        use = Use(90, 100)
        (crossing,) = LimitWatch().update(replace(IDLE, **{resource.value: use}))
        assert crossing == Crossing(resource, use, is_near=True)

    def test_resource_without_limit_is_never_near(self):
        assert not list(LimitWatch().update(replace(IDLE, threads=Use(10**9, None))))

    def test_unknown_use_changes_nothing(self):
        watch = LimitWatch()
        assert len(list(watch.update(use_memory(90)))) == 1
        assert not list(watch.update(use_memory(None)))
        assert not list(watch.update(use_memory(90)))


class TestProcessUse:
    def test_leaves_out_numbers_that_are_unknown(self):
        numbers = replace(IDLE, memory=Use(None, 100), memory_peak=None).known_numbers()
        assert numbers == {
            "memory_limit_bytes": 100,
            "descriptors": 10,
            "descriptors_limit": 100,
            "threads": 8,
            "threads_limit": 100,
        }

    def test_shows_address_space_if_it_is_limited(self):
        numbers = replace(IDLE, address_space=Use(400, 1_000)).known_numbers()
        assert numbers["address_space_bytes"] == 400
        assert numbers["address_space_limit_bytes"] == 1_000


class TestProcessFiles:
    def test_reads_use_of_this_process(self):
        use = ProcessFiles().read(CAPACITY)
        assert use.memory.limit == 300_000_000
        assert 1_000_000 < use.memory.used <= use.memory_peak < use.address_space.used
        assert use.descriptors.limit <= 2_000 and use.descriptors.used >= 3
        assert use.threads.used >= 1

    def test_counts_descriptors_exactly(self):
        files = ProcessFiles()
        before = files.read(CAPACITY).descriptors.used
        with open("/dev/null"), open("/dev/null"):
            assert files.read(CAPACITY).descriptors.used == before + 2

    @pytest.mark.parametrize("name", ["STATUS_FILE", "DESCRIPTOR_FOLDER"])
    def test_what_cannot_be_read_is_unknown(self, name, monkeypatch, tmp_path):
        monkeypatch.setattr(_process_files, name, str(tmp_path / "missing"))
        use = ProcessFiles().read(CAPACITY)
        assert (use.memory.used is None) == (name == "STATUS_FILE")
        assert (use.descriptors.used is None) == (name == "DESCRIPTOR_FOLDER")
        assert use.memory_peak > 1_000_000 and use.threads.used >= 1

    def test_all_descriptors_in_use_are_counted_where_folder_has_no_size(self, monkeypatch):
        """Guard against an unknown number just when descriptors run out, before Linux 6.2."""
        files = ProcessFiles()
        files.descriptor_limit = 64

        def refuse(path):
            raise OSError(errno.EMFILE, "Too many open files")

        empty = os.stat_result([0] * 10)
        system = SimpleNamespace(pread=os.pread, stat=lambda path: empty, listdir=refuse)
        monkeypatch.setattr(_process_files, "os", system)
        assert files.read(CAPACITY).descriptors == Use(64, 64)

    def test_status_of_unknown_form_is_unknown(self, monkeypatch, tmp_path):
        path = tmp_path / "status"
        path.write_text("Name:\tx\nVmRSS:\nVmHWM: many kB\n")
        monkeypatch.setattr(_process_files, "STATUS_FILE", str(path))
        use = ProcessFiles().read(CAPACITY)
        assert use.memory.used is None and use.address_space.used is None

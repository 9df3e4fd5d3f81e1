"""Tests for reading the settings file that the platform writes."""

import pytest

from masticgate.platform._node_file import InvalidNodeFile, read_node_file

TEXT = """
nodeName = "front-tvm-1"
ip = "10.1.0.9"
zone = "tvm"
seedNodes = ["10.1.0.9:8106", "10.2.0.9:8106"]
unknown = [1]
[bindAddresses]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
control = "10.1.0.9:8106"
[bounds]
drainMs = 3000
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
[platform]
address = "10.200.1.7:8102"
"""


class TestNodeFile:
    def test_reads_settings_of_gateway(self, tmp_path):
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        settings = read_node_file(path, 9464)
        assert (settings.host, settings.domain) == ("front-tvm-1", "tvm")
        assert settings.caller_address == "10.1.0.9:8104"
        assert settings.peer_address == "10.1.0.9:8106"
        assert settings.seeds == ("10.1.0.9:8106", "10.2.0.9:8106")
        assert settings.metrics_address == "10.1.0.9:9464"
        assert (settings.grace, settings.drain) == (6000.0, 3000.0)
        assert (settings.repeats.ratio, settings.repeats.slack) == (0.2, 52.0)

    def test_reads_limits_of_memory_and_descriptors(self, tmp_path):
        """Guard against bounds that are the same on machines of 200 MB and of 552 MB."""
        path = tmp_path / "local.toml"
        path.write_text(TEXT + "[limits]\nmemoryMb = 552\nmaxFds = 8192\n")
        capacity = read_node_file(path, None).capacity
        assert (capacity.memory, capacity.descriptors) == (552_000_000, 8_192)

    @pytest.mark.parametrize("limits", ["", "memoryMb = 0\nmaxFds = 0\n"])
    def test_unknown_limits_are_those_of_the_smallest_machine(self, tmp_path, limits):
        """Guard against a gateway that takes itself to be at its limit for good."""
        path = tmp_path / "local.toml"
        path.write_text(TEXT + "[limits]\n" + limits)
        capacity = read_node_file(path, None).capacity
        assert (capacity.memory, capacity.descriptors) == (200_000_000, 4_096)

    @pytest.mark.parametrize("missing", ["nodeName", "zone", "graceS", "address", "front"])
    def test_error_names_missing_field(self, tmp_path, missing):
        path = tmp_path / "local.toml"
        lines = [line for line in TEXT.splitlines() if not line.startswith(missing)]
        path.write_text("\n".join(lines))
        bad = read_node_file(path, None)
        assert isinstance(bad, InvalidNodeFile) and missing in bad.detail

    def test_rejects_missing_file_and_invalid_toml(self, tmp_path):
        assert isinstance(read_node_file(tmp_path / "none", None), InvalidNodeFile)
        (tmp_path / "bad").write_text("= [")
        assert isinstance(read_node_file(tmp_path / "bad", None), InvalidNodeFile)

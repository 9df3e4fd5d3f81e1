"""``masticgate check`` on files of a configuration of gateways."""

import copy
import json

import pytest
from click.testing import CliRunner

from masticgate.process.commands import main

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "a.example",
            "prefix": "/x/",
            "type": "idempotent",
            "timeoutMs": 250,
            "targetLatencyMs": 44,
            "fanoutServices": ["s1", "s2"],
            "minShardRatio": 0.75,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "prefix": "/z/",
            "type": "idempotent",
            "service": "s1",
        },
    ],
    "services": [{"name": "s1"}, {"name": "s2"}],
    "limits": {"maxHeaderBytes": 100},
}


@pytest.fixture
def check(tmp_path):
    def run(config, *arguments, in_force=None):
        path = tmp_path / "config.json"
        path.write_text(config if isinstance(config, str) else json.dumps(config, indent=1))
        if in_force is not None:
            other = tmp_path / "in-force.json"
            other.write_text(in_force if isinstance(in_force, str) else json.dumps(in_force))
            arguments = (*arguments, "--against", str(other))
        return CliRunner().invoke(main, ["check", str(path), *arguments])

    return run


@pytest.fixture
def config():
    return copy.deepcopy(CONFIG)


class TestExitStatus:
    def test_is_0_without_findings(self, check, config):
        result = check(config)
        assert result.exit_code == 0 and "nothing found" in result.output

    def test_is_1_with_a_fault(self, check, config):
        config["services"].append({"name": "s3"})
        result = check(config)
        assert result.exit_code == 1 and "no route names service s3" in result.output

    def test_is_2_for_a_file_that_does_not_exist(self, tmp_path):
        result = CliRunner().invoke(main, ["check", str(tmp_path / "gone.json")])
        assert result.exit_code == 2

    def test_is_2_if_version_in_force_cannot_be_decoded(self, check, config):
        """A comparison that did not take place must not look like one without changes."""
        result = check(config, in_force="{")
        assert result.exit_code == 2 and "in-force.json" in result.output

    def test_is_0_with_changes_alone(self, check, config):
        result = check({**config, "version": 8, "limits": {}}, in_force=config)
        assert result.exit_code == 0 and "change: the limits for callers change" in result.output

    def test_is_1_if_version_is_not_higher(self, check, config):
        result = check(config, in_force=config)
        assert result.exit_code == 1 and "config.json:2:13: version:" in result.output


class TestErrors:
    def test_each_invalid_entry_is_reported_at_its_value(self, check, config):
        """The decoder stops at the first error and names no index of a list."""
        config["routes"][0]["timeoutMs"] = "soon"
        config["services"][1]["name"] = 5
        text = json.dumps(config, indent=1)
        result = check(text)
        assert result.exit_code == 1
        for value, name in (('"soon"', "routes[0].timeoutMs"), ("5\n", "services[1].name")):
            lines = (text + "\n").splitlines(keepends=True)
            number, line = next(
                (n, s) for n, s in enumerate(lines, 1) if s.endswith((f" {value}", f" {value},\n"))
            )
            column = line.index(value) + 1
            assert f"config.json:{number}:{column}: error: config.{name}: must be" in result.output

    def test_invalid_entry_and_missing_limits_are_both_reported(self, check, config):
        config["routes"][1].pop("service")
        config.pop("limits")
        output = check(config).output
        assert "config.routes[1].service: must be" in output
        assert "config.limits: must be a table" in output

    def test_syntax_error_is_reported_at_its_position(self, check):
        result = check('{"version": 7, "services": [],\n "routes": [,]}')
        assert result.exit_code == 1 and "config.json:2:13: error: not readable" in result.output

    def test_comment_is_an_error(self, check, config):
        """An operators' text may have comments, but gateways refuse them."""
        result = check("// rules\n" + json.dumps(config))
        assert result.exit_code == 1 and "config.json:1:1: error: not readable" in result.output


class TestJson:
    def test_prints_findings_as_a_list(self, check, config):
        config["limits"]["maxHeaderBytes"] = 0
        result = check(config, "--json")
        [finding] = json.loads(result.output)
        assert result.exit_code == 1
        assert finding["kind"] == "contradiction"
        line = json.dumps(config, indent=1).splitlines()[finding["line"] - 1]
        assert line[finding["column"] - 1 :] == "0" and "maxHeaderBytes" in line

    def test_is_refused_for_an_operators_text(self, check):
        """Without findings to print, a list on standard output would be a false result."""
        result = check("{}", "--json")
        assert result.exit_code == 2 and "only for a configuration of gateways" in result.output

    def test_prints_an_empty_list_without_findings(self, check, config):
        result = check(config, "--json")
        assert result.exit_code == 0 and json.loads(result.output) == []

"""The operators' pages describe the settings, names and commands that the code has."""

import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner
from pydantic import BaseModel

from masticgate import Reason
from masticgate.process import Settings, check_settings
from masticgate.process._settings import PlatformSettings, SeedSettings, StatsdSettings
from masticgate.process._timeline import EventKind
from masticgate.process.commands import main
from masticgate.process.gateway._log import LogEvent
from masticgate.version._schema import (
    ConfigurationText,
    DepartmentText,
    FloorsText,
    SearcherText,
    ServiceText,
)
from tests.standins.fleet import Fleet
from tests.texts import SMALL

ROOT = Path(__file__).resolve().parents[1]
PAGES = ROOT / "docs" / "operators"
SETTINGS = {
    "": Settings,
    "platform.": PlatformSettings,
    "seeds[].": SeedSettings,
    "statsd.": StatsdSettings,
}
TEXT = {
    "": ConfigurationText,
    "floors.": FloorsText,
    "departments.NAME.": DepartmentText,
    "services.NAME.": ServiceText,
    "services.NAME.searchers[].": SearcherText,
}


def rows_of(page: str) -> dict[str, str]:
    """Return the default of each key according to the table of ``page``."""
    text = (PAGES / page).read_text(encoding="utf-8")
    rows = re.findall(r"^\| `([^`]+)` \| ([^|]*) \| ([^|]*) \| .+ \|$", text, re.MULTILINE)
    return {key: default.strip("` ") for key, _, default in rows}


def defaults_of(models: dict[str, type[BaseModel]]) -> dict[str, str]:
    return {
        f"{prefix}{name}": "required" if field.is_required() else shown(field.get_default())
        for prefix, model in models.items()
        for name, field in model.model_fields.items()
    }


def shown(value: object) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return str(value).lower()
        case BaseModel():
            return "{}"
        case _:
            return str(value)


class TestPages:
    @pytest.mark.parametrize(("page", "models"), [("settings.md", SETTINGS), ("text.md", TEXT)])
    def test_list_exactly_the_keys_with_their_defaults(self, page, models):
        assert rows_of(page) == defaults_of(models)

    def test_show_valid_settings(self):
        page = (PAGES / "settings.md").read_text(encoding="utf-8")
        example = "".join(line for line in page.splitlines(True) if line.startswith("    "))
        assert isinstance(check_settings(example, "example"), Settings)


NOT_FOR_CALLERS = {Reason.PLATFORM}
METRIC = re.compile(r'metrics\.(?:count|time|set_gauge)\(f?"([^"]+)"')


def table_names(path: Path) -> set[str]:
    """Return the names in code style in the first column of the tables of a page."""
    cells = re.findall(r"^\| (`[^|]*) \|", path.read_text(encoding="utf-8"), re.MULTILINE)
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def metric_names() -> set[str]:
    """Return the names of the metrics in the code, spelled as on the page."""
    sources = (ROOT / "src").rglob("*.py")
    found = [name for path in sources for name in METRIC.findall(path.read_text(encoding="utf-8"))]
    named = [name.replace("{rank.label}", "RANK") for name in found]
    return {name.replace("{reason.value}", "REASON") for name in named}


class TestNames:
    def test_all_reasons_for_callers_are_documented(self):
        reasons = {reason.value for reason in Reason if reason not in NOT_FOR_CALLERS}
        assert reasons <= table_names(ROOT / "docs" / "API.md")

    def test_exactly_the_timeline_events_are_documented(self):
        assert table_names(PAGES / "timeline.md") == {kind.value for kind in EventKind}

    def test_exactly_the_metrics_are_documented(self):
        page = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
        table = page.partition("## Suggested alerts")[0]
        assert set(re.findall(r"^\| `([^`]+)` \|", table, re.MULTILINE)) == metric_names()

    def test_exactly_the_log_events_are_documented(self):
        page = (ROOT / "docs" / "LOGS.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| ([^|]+) \| [^|]+ \| [^|]+ \|$", page, re.MULTILINE)
        names = [name for row in rows for name in re.findall(r"`([^`]+)`", row)]
        assert sorted(names) == sorted(event.value for event in LogEvent)

    def test_all_commands_shown_to_operators_exist(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        shown = re.findall(r"^    (?:\$ )?masticgate (\w+)", page, re.MULTILINE)
        assert shown and set(shown) <= set(main.commands)


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ('{"host": 1}', "x:1:10: host: Input should be a valid string, found 1"),
            ('{"hsot": "h1"}', "x:1:10: hsot: Extra inputs are not permitted, found 'h1'"),
            ('{\n"seeds": [{"host": "H 1"}]}', "x:2:20: seeds.0.host: String should match"),
            ("{}", "x:1:1: platform: Field required"),
            ("{", "x:1:2: Expecting property name"),
        ],
    )
    def test_problem_states_position_expectation_and_value(self, text, words):
        problems = check_settings(text, "x").problems
        assert any(problem.startswith(words) for problem in problems), problems


COMMAND = re.compile(r"^(?: {4}|\s*)(?:\$ )?masticgate (\w+ .+)$", re.MULTILINE)


def commands() -> list[str]:
    """Return every command that a page shows on a line of its own, except ``serve``."""
    shown = [
        line
        for page in sorted(PAGES.glob("*.md"))
        for line in COMMAND.findall(page.read_text(encoding="utf-8"))
        if not line.startswith("serve ")
    ]
    return list(dict.fromkeys(shown))


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


class TestShownCommands:
    def test_include_the_main_commands(self):
        assert {"check", "query", "book", "status", "timeline"} <= {
            c.split()[0] for c in commands()
        }

    @pytest.mark.parametrize("command", commands())
    def test_run_as_shown(self, command, fleet, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        (tmp_path / "text.jsonc").write_text(SMALL)
        for number, caller in enumerate(fleet.caller_addresses, 1):
            command = command.replace(f"127.0.0.1:800{number}", caller)
        result = CliRunner().invoke(main, shlex.split(command))
        assert result.exit_code == 0, result.output

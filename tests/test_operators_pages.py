"""The operators' pages name what the code reads."""

import re
from pathlib import Path

import pytest
from pydantic import BaseModel

from masticgate.process import Settings, check_settings
from masticgate.process._settings import PlatformText, SeedText, StatsdText
from masticgate.version._schema import (
    ConfigurationText,
    DepartmentText,
    FloorsText,
    SearcherText,
    ServiceText,
)

PAGES = Path(__file__).resolve().parents[1] / "docs" / "operators"
SETTINGS = {"": Settings, "platform.": PlatformText, "seeds[].": SeedText, "statsd.": StatsdText}
TEXT = {
    "": ConfigurationText,
    "floors.": FloorsText,
    "departments.NAME.": DepartmentText,
    "services.NAME.": ServiceText,
    "services.NAME.searchers[].": SearcherText,
}


def rows_of(page: str) -> dict[str, str]:
    """Return the default that the page's table gives for each key."""
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
    def test_give_each_key_with_its_default_and_no_other(self, page, models):
        assert rows_of(page) == defaults_of(models)

    def test_show_settings_that_a_host_takes(self):
        page = (PAGES / "settings.md").read_text(encoding="utf-8")
        example = "".join(line for line in page.splitlines(True) if line.startswith("    "))
        assert isinstance(check_settings(example, "example"), Settings)


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
    def test_are_refused_with_place_expectation_and_finding(self, text, words):
        problems = check_settings(text, "x").problems
        assert any(problem.startswith(words) for problem in problems), problems

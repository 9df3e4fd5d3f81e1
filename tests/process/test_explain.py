"""``masticgate explain``, which shows one request from the logs of several gateways."""

import json

from click.testing import CliRunner

from masticgate.process.commands import main


def line(wall: int, host: str, event: str, **fields) -> str:
    return json.dumps({"wall_ms": wall, "host": host, "event": event, **fields})


LOG_1 = "\n".join(
    [
        line(1_000, "g1", "searcher_ejected", searcher="i-far", service="other"),
        line(90_000, "g1", "platform_lost", detail="timed out", age_ms=2_500),
        line(91_000, "g1", "searcher_ejected", searcher="i-7", service="s1", detail="reset"),
        line(91_500, "g1", "searcher_ejected", searcher="i-8", service="s9"),
        "not a line",
        line(92_000, "g1", "request_failed", request="q1", detail="unknown: lost at i-7"),
        line(93_000, "g1", "configuration", version=9),
    ]
)
LOG_2 = line(92_000, "g2", "request", request="q2")


class TestExplain:
    def run(self, tmp_path, request):
        for name, text in (("g1.log", LOG_1), ("g2.log", LOG_2)):
            (tmp_path / name).write_text(text)
        logs = [str(tmp_path / "g1.log"), str(tmp_path / "g2.log")]
        return CliRunner().invoke(main, ["explain", request, *logs])

    def test_shows_earlier_state_changes_that_may_have_affected_the_request(self, tmp_path):
        result = self.run(tmp_path, "q1")
        assert result.exit_code == 0
        events = [row.split()[-3:] for row in result.output.splitlines()]
        assert len(events) == 3
        rows = result.output.splitlines()
        assert "platform_lost" in rows[0] and "i-7" in rows[1] and rows[2].startswith("* ")

    def test_omits_other_searchers_other_hosts_and_later_changes(self, tmp_path):
        output = self.run(tmp_path, "q1").output
        assert "i-8" not in output and "g2" not in output and "version=9" not in output

    def test_null_fields_select_no_other_lines(self, tmp_path):
        lines = [
            line(1_000, "g1", "searcher_leaving", searcher=None, service="s9", why="x"),
            line(1_500, "g1", "searcher_ejected", searcher="None", service="s9"),
            line(2_000, "g1", "request_failed", request="q1", detail=None),
        ]
        (tmp_path / "g1.log").write_text("\n".join(lines))
        result = CliRunner().invoke(main, ["explain", "q1", str(tmp_path / "g1.log")])
        assert len(result.output.splitlines()) == 1

    def test_exits_3_for_unknown_request(self, tmp_path):
        assert self.run(tmp_path, "q3").exit_code == 3

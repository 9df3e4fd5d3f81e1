"""The command line against a running deployment."""

import json
import signal

import pytest
from click.testing import CliRunner

from masticgate.process.commands import main
from tests.standins.fleet import Fleet
from tests.texts import EXAMPLES, SMALL


def run(*arguments: str):
    return CliRunner().invoke(main, list(arguments))


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


class TestGroup:
    @pytest.mark.parametrize("command", ["serve", "check", "query", "book", "status", "timeline"])
    def test_command_prints_its_usage(self, command):
        result = run(command, "--help")
        assert result.exit_code == 0 and "Usage" in result.output

    def test_prints_its_version(self):
        assert run("--version").output.startswith("masticgate, version ")


class TestServe:
    def test_refuses_invalid_settings_and_prints_path_and_position(self, tmp_path):
        settings = tmp_path / "bad.jsonc"
        settings.write_text('{\n  "host": "h1",\n  "max_callers": "many"\n}')
        result = run("serve", "--settings", str(settings))
        assert result.exit_code == 2
        assert "bad.jsonc:3:18: max_callers:" in result.output and "found 'many'" in result.output
        assert "Traceback" not in result.output


class TestCheck:
    def test_accepts_example_texts(self):
        for name in ("kerala", "norte"):
            assert run("check", str(EXAMPLES / f"{name}.jsonc")).exit_code == 0

    def test_refuses_unknown_dependency_and_prints_line_and_service(self, tmp_path):
        text = tmp_path / "text.jsonc"
        text.write_text(SMALL.replace('"depends_on": ["ledger/1"]', '"depends_on": ["gone"]'))
        result = run("check", str(text))
        assert result.exit_code == 5
        assert "line 8" in result.output and "'desk/1' depends on 'gone'" in result.output

    def test_prints_leaving_department_and_services_that_depend_on_it(self, tmp_path):
        old, new = tmp_path / "old.jsonc", tmp_path / "new.jsonc"
        old.write_text(SMALL)
        new.write_text(SMALL.replace('"ledger": {}', '"ledger": {"leaving": true}'))
        result = run("check", str(new), "--against", str(old))
        assert result.exit_code == 0
        assert "department ledger leaves" in result.output
        assert "desk/1 depends on it" in result.output


class TestCallers:
    def test_query_prints_whole_answer_as_text_and_json(self, fleet):
        table = run("query", fleet.caller_addresses[0], "--service", "desk/1")
        assert table.exit_code == 0 and "coverage 1.0000  whole" in table.output
        answer = run("query", fleet.caller_addresses[0], "--service", "desk/1", "--json")
        assert json.loads(answer.output)["whole"] is True

    def test_query_asks_next_host_if_first_is_unreachable(self, fleet):
        assert (
            run("query", "127.0.0.1:1", fleet.caller_addresses[1], "--service", "desk/1").exit_code
            == 0
        )

    def test_query_exits_1_if_not_run_and_6_if_unreachable(self, fleet):
        assert run("query", fleet.caller_addresses[0], "--service", "nowhere").exit_code == 1
        assert run("query", "127.0.0.1:1", "--service", "desk/1").exit_code == 6

    def test_book_with_the_same_ticket_twice_runs_once(self, fleet):
        first = run("book", *fleet.caller_addresses, "--service", "orders", "--json")
        assert first.exit_code == 0
        ticket = json.loads(first.output)["ticket"]
        again = run("book", fleet.caller_addresses[2], "--service", "orders", "--ticket", ticket)
        assert again.exit_code == 0
        booked_tickets = [
            b["ticket"] for s in fleet.searcher_reports().values() for b in s["bookings"]
        ]
        assert booked_tickets.count(ticket) == 1


class TestOperators:
    def test_status_prints_versions_peers_and_owned_services(self, fleet):
        result = run("status", *fleet.caller_addresses)
        assert result.exit_code == 0
        assert result.output.count("in force") == 3
        assert "desk/1" in result.output and "alive, reachable" in result.output

    def test_status_counts_answers_to_callers(self, fleet):
        fleet.search(0, ["desk/1"], rank="urgent")
        counters = fleet.status(0)["counters"]
        assert counters["search.urgent.whole"] >= 1

    def test_timeline_merges_events_of_all_hosts(self, fleet, tmp_path):
        page = tmp_path / "line.html"
        result = run("timeline", *fleet.caller_addresses, "--json", "--html", str(page))
        assert result.exit_code == 0
        events = [json.loads(line) for line in result.output.splitlines()]
        assert {event["host"] for event in events} == {"h1", "h2", "h3"}
        assert "text_accepted" in page.read_text()

    def test_status_exits_6_and_names_host_that_does_not_answer(self, fleet):
        result = run("status", fleet.caller_addresses[0], "127.0.0.1:1")
        assert result.exit_code == 6 and "127.0.0.1:1: no answer" in result.output

    def test_log_holds_changes_of_state_but_no_requests(self, fleet):
        lines = fleet.read_log("h1").splitlines()
        assert any("text_accepted" in line for line in lines)
        assert not any("/v1/search" in line for line in lines)


class TestShutdown:
    def test_sigterm_stops_host_with_status_0(self):
        with Fleet(SMALL, hosts=1) as fleet:
            fleet.signal("h1", signal.SIGTERM)
            assert fleet.processes["h1"].wait(15) == 0


class TestTimelineOfAFleet:
    def test_every_event_comes_after_the_events_that_its_host_knew_of(self, fleet):
        revision = fleet.publish_text(fleet.text + "\n")
        fleet.wait_until(
            lambda: all(fleet.status(n)["revision"] == revision for n in range(3)), 10, "no text"
        )
        result = run("timeline", *fleet.caller_addresses, "--json")
        events = [json.loads(line) for line in result.output.splitlines()]
        position = {(e["host"], e["sequence"]): index for index, e in enumerate(events)}
        known_events = [(e, seen) for e in events for seen in e["seen"].items()]
        assert known_events
        assert all(position[seen] < position[e["host"], e["sequence"]] for e, seen in known_events)

"""Tests of what two real gateway programs say of an end of one of them."""

import signal

import pytest

from .program import GatewayProgram


class Host(GatewayProgram):
    """A gateway program with a name of its own; ``seed`` is the program that is its seed."""

    def __init__(self, folder, name: str, seed: GatewayProgram | None = None) -> None:
        folder.mkdir()
        super().__init__(folder)
        self.name = name
        self.seed = seed or self

    def settings(self, grace: float = 1.0) -> str:
        text = super().settings(grace).replace("front-1", self.name)
        return text.replace("[]", f'["127.0.0.1:{self.seed.ports["control"]}"]', 1)


@pytest.fixture
def seed(tmp_path):
    seed = Host(tmp_path / "seed", "seed-1")
    seed.write_settings()
    seed.start()
    seed.wait_until_ready()
    yield seed
    seed.close()


@pytest.fixture
def host(tmp_path, seed):
    host = Host(tmp_path / "host", "front-2", seed)
    host.write_settings()
    host.start()
    host.wait_until_ready()
    host.wait_for_event("previous_end", known=False, seeds_answered=1)
    yield host
    host.close()


def end_and_start_again(host: Host, number: signal.Signals) -> dict:
    """End the process by a signal; return what the next one says of its end."""
    host.signal(number)
    host.wait_for_end()
    host.start()
    return host.wait_for_event("previous_end", known=True)


class TestPreviousEnd:
    def test_kill_is_known_to_the_next_process_and_to_the_seed(self, seed, host):
        """Guard against an end without any line in the logs of the whole system (FAULT)."""
        started = host.wait_for_event("started")
        line = end_and_start_again(host, signal.SIGKILL)
        assert line["stopping"] is False and 0 <= line["heard_ms_ago"] < 10_000
        assert abs(line["started_wall_ms"] - started["wall_ms"]) < 5_000
        assert line["memory_bytes"] > 5_000_000 and line["descriptors"] > 3
        seen = seed.wait_for_event("restart_unannounced", gateway="front-2")
        assert seen["started_wall_ms"] == line["started_wall_ms"]

    def test_planned_stop_is_known_as_such(self, seed, host):
        line = end_and_start_again(host, signal.SIGTERM)
        assert line["stopping"] is True
        assert "restart_unannounced" not in seed.output.read_text()

    def test_nothing_is_known_without_seed(self, seed, host):
        seed.close()
        host.signal(signal.SIGKILL)
        host.wait_for_end()
        host.start()
        host.wait_for_event("previous_end", known=False, seeds_answered=0)

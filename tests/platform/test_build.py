"""Tests of the commands that install the libraries, with an installer that the test replaces."""

import os
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SOABI = sysconfig.get_config_var("SOABI")
OTHER_STAMPS = [".ready", f".ready-{SOABI.replace('311', '310')}", ".ready-cpython-311-m68k-linux"]
"""Stamps of an earlier release, of another Python and of another architecture."""

FAKE_PYTHON = """#!/bin/sh
case "$*" in
"-m pip"*|"-m venv"*) echo "$*" >> "$CALLS" ;;
*) exec {python} "$@" ;;
esac
"""


@pytest.fixture
def project(tmp_path):
    """Return a copy of what the build reads, in which ``python3`` only records installations."""
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    (tmp_path / "src/masticgate").mkdir(parents=True)
    python = tmp_path / "bin/python3"
    python.parent.mkdir()
    python.write_text(FAKE_PYTHON.format(python=sys.executable))
    python.chmod(0o755)
    return tmp_path


def build(project: Path) -> list[str]:
    """Run the build of the deploy file and return the installations that it made."""
    command = tomllib.loads((project / "deploy/system.toml").read_text())["build"]
    calls = project / "calls"
    calls.write_text("")
    environment = os.environ | {"CALLS": str(calls)}
    environment["PATH"] = f"{project / 'bin'}:{environment['PATH']}"
    subprocess.run(["sh", "-c", command], cwd=project, env=environment, check=True)
    return calls.read_text().splitlines()


class TestDeployBuild:
    def test_installs_libraries_once(self, project):
        assert len(build(project)) == 1
        assert build(project) == []

    @pytest.mark.parametrize("stamp", OTHER_STAMPS)
    def test_does_not_trust_libraries_of_another_kind_of_machine(self, project, stamp):
        """Guard against a program that ends at its first import of a compiled library (FAULT)."""
        deps = project / "target/deps"
        deps.mkdir(parents=True)
        (deps / "httptools.so").touch()
        (deps / stamp).touch()
        assert len(build(project)) == 1
        assert not (deps / "httptools.so").exists()
        assert build(project) == []


class TestVirtualEnvironment:
    @pytest.mark.parametrize("stamp", [f".ready-{SOABI}", *OTHER_STAMPS])
    def test_is_made_anew_on_another_kind_of_machine(self, project, stamp):
        """Guard against tests that run with libraries of another architecture or Python."""
        for name in ("Makefile", "requirements.lock", "pyproject.toml"):
            shutil.copy(ROOT / name, project)
        (project / ".venv").mkdir()
        (project / ".venv" / stamp).touch()
        command = ["make", "--dry-run", "test", f"PYTHON={sys.executable}"]
        steps = subprocess.run(command, cwd=project, capture_output=True, text=True, check=True)
        assert ("-m venv" in steps.stdout) == (stamp != f".ready-{SOABI}")

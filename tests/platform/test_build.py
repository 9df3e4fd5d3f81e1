"""Tests of the commands that install the program, with an installer that the test replaces."""

import os
import re
import shutil
import signal
import subprocess
import sys
import sysconfig
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.util import find_spec
from itertools import count
from pathlib import Path
from threading import Event, Thread

import pytest

ROOT = Path(__file__).resolve().parents[2]
SOABI = sysconfig.get_config_var("SOABI")
OTHER_STAMPS = [".ready", f".ready-{SOABI.replace('311', '310')}", ".ready-cpython-311-m68k-linux"]
"""Stamps of an earlier release, of another Python and of another architecture."""

LIBRARIES = ("httptools", "sortedcontainers")

PACKAGES = {"python3": "python3", "pip": "python3-pip"}
"""The Debian package of each program and each module of Python that the build calls."""

FAKE_PIP = """
import os, shutil, sys, time
from pathlib import Path
target = Path(sys.argv[sys.argv.index("--target") + 1])
with open(os.environ["CALLS"], "a") as calls:
    print(*sys.argv[1:], file=calls)
target.mkdir(exist_ok=True)
if "HANG_AFTER_START" in os.environ:
    time.sleep(60)
for folder in {libraries}:
    shutil.copytree(folder, target / Path(folder).name)
"""


def library_folders() -> list[str]:
    """Return the folders of the libraries that the tests themselves use."""
    specs = [find_spec(name) for name in LIBRARIES]
    return [str(Path(spec.origin).parent) for spec in specs]


class Project:
    """A copy of what the build reads, with an installer that copies the libraries at hand."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.deps = root / "target/deps"
        self.calls = root / "calls"
        self.calls.touch()
        shutil.copytree(ROOT / "deploy", root / "deploy")
        shutil.copytree(ROOT / "src", root / "src", ignore=shutil.ignore_patterns("__pycache__"))
        installer = root / "fake/pip/__main__.py"
        installer.parent.mkdir(parents=True)
        (installer.parent / "__init__.py").touch()
        installer.write_text(FAKE_PIP.format(libraries=library_folders()))
        python = root / "bin/python3"
        python.parent.mkdir()
        python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
        python.chmod(0o755)
        self.deploy = tomllib.loads((root / "deploy/system.toml").read_text())

    def start_build(self, **variables: str) -> subprocess.Popen[bytes]:
        """Start the build of the deploy file, as the leader of a group of processes."""
        environment = os.environ | {"CALLS": str(self.calls), "PYTHONPATH": str(self.root / "fake")}
        environment["PATH"] = f"{self.root / 'bin'}:{environment['PATH']}"
        command = ["/bin/sh", "-c", self.deploy["build"]]
        return subprocess.Popen(
            command, cwd=self.root, env=environment | variables, start_new_session=True
        )

    def build(self) -> list[str]:
        """Run the build of the deploy file and return the installations that it made."""
        self.calls.write_text("")
        assert self.start_build().wait(60) == 0
        return self.calls.read_text().splitlines()

    def start(self, *options: str, command: tuple[str, ...] = ()) -> subprocess.Popen[bytes]:
        """Start the program of the deploy file, or ``command``, from the installation."""
        environment = os.environ | {
            "PYTHONPATH": "target/deps",
            "MASTICGATE_NODE_FILE": str(self.root / "missing.toml"),
        }
        run = self.deploy["roles"]["gateway"]["run"].split()[1:]
        arguments = [sys.executable, *options, *(command or run)]
        pipe = subprocess.PIPE
        # Without a buffer, no output is lost between reads of lines and ``communicate()``.
        return subprocess.Popen(
            arguments,
            bufsize=0,
            cwd=self.root,
            env=environment,
            stdin=pipe,
            stdout=pipe,
            stderr=pipe,
        )

    def replace(self, path: str, old: str, new: str) -> None:
        """Change the text of a source file."""
        file = self.root / "src/masticgate" / path
        text = file.read_text()
        assert old in text
        file.write_text(text.replace(old, new))

    def rename_module(self, number: int) -> None:
        """Change the sources so that modules of before and after do not fit together."""
        folder = self.root / "src/masticgate/platform"
        (module,) = folder.glob("_node_file*.py")
        module.rename(folder / f"_node_file{number}.py")
        old, new = (f"from .{name} import" for name in (module.stem, f"_node_file{number}"))
        self.replace("platform/_serve.py", old, new)

    def snapshot(self) -> dict[str, tuple[int, int]]:
        """Return the inode and the time of change of each installed file."""
        files = [path for path in self.deps.rglob("*") if path.is_file()]
        states = {str(path): path.stat() for path in files}
        return {path: (state.st_ino, state.st_mtime_ns) for path, state in states.items()}


@pytest.fixture
def project(tmp_path):
    return Project(tmp_path)


def wait_for_first_import(process: subprocess.Popen) -> None:
    """Wait until a program that reports its imports can queue signals and loads the next module."""
    for line in process.stderr:
        if line.rstrip().endswith(b"masticgate._clock"):
            return
    raise AssertionError("ended before its first import")


def end(process: subprocess.Popen) -> tuple[int, str]:
    """Tell a program to stop; return its exit status and the errors that it printed.

    Its settings file is missing, for which it waits and says so.
    """
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=30)
    lines = errors.decode().splitlines()
    expected = ("import time: ", "masticgate: waits 10 s for valid settings: ")
    return process.returncode, "\n".join(line for line in lines if not line.startswith(expected))


def start_and_end(project: Project) -> tuple[int, str]:
    """Start the program, tell it to stop while it loads its modules, and return its end."""
    process = project.start("-X", "importtime")
    wait_for_first_import(process)
    return end(process)


@contextmanager
def repeated(action) -> Iterator[list[object]]:
    """Call ``action`` again and again beside the block; collect what it returns."""
    ended = Event()
    results: list[object] = []

    def run() -> None:
        while not ended.is_set():
            results.append(action())

    thread = Thread(target=run)
    thread.start()
    try:
        yield results
    finally:
        ended.set()
        thread.join()


class TestDeployBuild:
    def test_installs_libraries_once(self, project):
        assert len(project.build()) == 1
        assert project.build() == []

    @pytest.mark.parametrize("stamp", OTHER_STAMPS)
    def test_does_not_trust_libraries_of_another_kind_of_machine(self, project, stamp):
        """Guard against a program that ends at its first import of a compiled library (FAULT)."""
        project.deps.mkdir(parents=True)
        (project.deps / "httptools.so").touch()
        (project.deps / stamp).touch()
        assert len(project.build()) == 1
        assert not (project.deps / "httptools.so").exists()
        assert project.build() == []

    def test_does_not_trust_installation_of_another_kind_of_machine(self, project):
        project.build()
        first = project.deps.resolve()
        build = project.root / "deploy/build.py"
        build.write_text(build.read_text().replace('get_config_var("SOABI")', '__name__ + "m68k"'))
        assert len(project.build()) == 1
        assert project.deps.resolve() != first

    def test_replaces_folder_of_earlier_release(self, project):
        package = project.deps / "masticgate"
        package.mkdir(parents=True)
        (package / "_left_over.py").touch()
        project.build()
        assert package.is_dir() and not (package / "_left_over.py").exists()
        assert start_and_end(project) == (0, "")

    def test_changed_libraries_make_new_installation(self, project):
        project.build()
        first = project.deps.resolve()
        with (project.root / "deploy/requirements.txt").open("a") as requirements:
            requirements.write("# changed\n")
        assert len(project.build()) == 1
        assert project.deps.resolve() != first


class TestPackages:
    def test_build_calls_only_what_packages_name(self, project):
        """Guard against a build that fails on a machine with nothing but the named packages."""
        assert project.start_build(PATH=str(project.root / "bin")).wait(60) == 0
        programs = {path.name for path in (project.root / "bin").iterdir()}
        modules = re.findall(r'"-m", "(\w+)"', (ROOT / "deploy/build.py").read_text())
        assert modules == ["pip"]
        assert set(project.deploy["packages"]) == {PACKAGES[name] for name in (*programs, *modules)}


class TestInstallation:
    def test_build_of_unchanged_sources_changes_nothing(self, project):
        """Guard against an installation that changes under a process which uses it (FAULT)."""
        project.build()
        before = project.snapshot()
        project.build()
        assert project.snapshot() == before

    def test_build_of_changed_sources_leaves_previous_installation_as_it_was(self, project):
        project.build()
        previous = project.deps.resolve()
        files = {path: path.read_bytes() for path in previous.rglob("*") if path.is_file()}
        project.rename_module(1)
        project.build()
        assert project.deps.resolve() != previous
        assert {p: p.read_bytes() for p in previous.rglob("*") if p.is_file()} == files

    def test_damaged_installation_is_not_used_again(self, project):
        project.build()
        (project.deps / "masticgate/_clock.py").unlink()
        project.build()
        assert (project.deps / "masticgate/_clock.py").exists()

    def test_sources_that_do_not_compile_leave_installation_in_use(self, project):
        project.build()
        before = project.snapshot()
        project.replace("_clock.py", "import", "import import")
        assert project.start_build().wait(60) != 0
        assert project.snapshot() == before

    def test_removes_only_old_installations(self, project):
        used = []
        for number in range(7):
            project.rename_module(number)
            project.build()
            used.append(project.deps.resolve())
        assert [folder.exists() for folder in used] == [False] * 2 + [True] * 5
        assert not any((project.root / "target/scratch").iterdir())


class TestStartsBesideBuilds:
    def test_start_beside_builds_of_unchanged_sources(self, project):
        """Guard against a start that finds no module while a build copies the package (FAULT)."""
        project.build()
        with repeated(lambda: project.start_build().wait(60)) as builds:
            ends = [start_and_end(project) for _ in range(6)]
        assert ends == [(0, "")] * 6
        assert set(builds) == {0}

    def test_start_beside_builds_of_changed_sources(self, project):
        """Guard against a start that loads modules of two releases (FAULT)."""
        project.build()
        numbers = count()

        def build_changed() -> int:
            project.rename_module(next(numbers))
            return project.start_build().wait(60)

        with repeated(build_changed) as builds:
            ends = [start_and_end(project) for _ in range(6)]
        assert ends == [(0, "")] * 6
        assert set(builds) == {0}

    def test_build_amid_start_leaves_start_with_its_installation(self, project):
        project.build()
        process = project.start("-X", "importtime")
        wait_for_first_import(process)
        process.send_signal(signal.SIGSTOP)
        project.rename_module(1)
        project.build()
        process.send_signal(signal.SIGCONT)
        assert end(process) == (0, "")

    def test_modules_loaded_late_are_of_installation_of_start(self, project):
        """Guard against names that are loaded on first use, after another build."""
        project.build()
        code = (
            "import masticgate; print(flush=True); input(); from masticgate import version, _clock;"
            "import httptools; print(_clock.__file__, version.__file__, httptools.__file__)"
        )
        process = project.start(command=("-S", "-c", code))
        process.stdout.readline()
        previous = project.deps.resolve()
        project.rename_module(1)
        project.build()
        output, errors = process.communicate(b"\n", timeout=30)
        assert errors == b""
        assert all(Path(file).is_relative_to(previous) for file in output.decode().split())

    def test_build_within_first_import_leaves_modules_of_one_installation(self, project):
        """Guard against the first module of one installation with the others of the next."""
        project.build()
        package = project.root / "src/masticgate/__init__.py"
        package.write_text(f"{package.read_text()}\nNEWER = True\n")
        previous = os.readlink(project.deps)
        project.build()
        newer = os.readlink(project.deps)
        project.deps.unlink()
        project.deps.symlink_to(previous)
        code = f"""
import os
resolve = os.path.realpath
def switch_and_resolve(path):
    os.unlink("target/deps")
    os.symlink({newer!r}, "target/deps")
    return resolve(path)
os.path.realpath = switch_and_resolve
import masticgate, masticgate._clock
print(masticgate.NEWER, masticgate.__file__, masticgate._clock.__file__)
"""
        process = project.start(command=("-S", "-c", code))
        output, errors = process.communicate(timeout=30)
        assert errors == b""
        newer_flag, *files = output.decode().split()
        assert newer_flag == "True"
        assert all(Path(file).is_relative_to(project.deps.resolve()) for file in files)


class TestOddFolders:
    def test_start_in_folder_that_is_gone(self, project):
        """Guard against a start that needs the name of its working folder."""
        project.build()
        code = (
            "import os, sys; sys.path[:] = ['', os.path.abspath('target/deps'), *sys.path];"
            "os.mkdir('gone'); os.chdir('gone'); os.rmdir('../gone'); import masticgate._clock"
        )
        _, errors = project.start(command=("-S", "-c", code)).communicate(timeout=30)
        assert errors == b""


class TestSeveralBuilds:
    def test_two_builds_at_once_install_once(self, project):
        builds = [project.start_build() for _ in range(3)]
        assert [build.wait(60) for build in builds] == [0] * 3
        assert len(project.calls.read_text().splitlines()) == 1
        assert len(list((project.root / "target/installations").iterdir())) == 1

    def test_build_cut_off_leaves_previous_installation_in_use(self, project):
        """Guard against a target folder that a killed build leaves without its package (FAULT)."""
        project.build()
        before = project.snapshot()
        with (project.root / "deploy/requirements.txt").open("a") as requirements:
            requirements.write("# changed\n")
        project.calls.write_text("")
        cut_off = project.start_build(HANG_AFTER_START="1")
        while not project.calls.read_text():
            Event().wait(0.02)
        os.killpg(cut_off.pid, signal.SIGKILL)
        cut_off.wait()
        assert project.snapshot() == before
        assert start_and_end(project) == (0, "")
        assert len(project.build()) == 1
        assert not any((project.root / "target/scratch").iterdir())

    @pytest.mark.parametrize("delay_s", [0.05, 0.15, 0.3, 0.6])
    def test_build_cut_off_at_any_time_leaves_an_installation(self, project, delay_s):
        project.build()
        project.rename_module(1)
        cut_off = project.start_build()
        Event().wait(delay_s)
        os.killpg(cut_off.pid, signal.SIGKILL)
        cut_off.wait()
        assert start_and_end(project) == (0, "")
        project.build()
        assert start_and_end(project) == (0, "")


class TestVirtualEnvironment:
    @pytest.mark.parametrize("stamp", [f".ready-{SOABI}", *OTHER_STAMPS])
    def test_is_made_anew_on_another_kind_of_machine(self, project, stamp):
        """Guard against tests that run with libraries of another architecture or Python."""
        for name in ("Makefile", "requirements.lock", "pyproject.toml"):
            shutil.copy(ROOT / name, project.root)
        (project.root / ".venv").mkdir()
        (project.root / ".venv" / stamp).touch()
        command = ["make", "--dry-run", "test", f"PYTHON={sys.executable}"]
        steps = subprocess.run(
            command, cwd=project.root, capture_output=True, text=True, check=True
        )
        assert ("-m venv" in steps.stdout) == (stamp != f".ready-{SOABI}")

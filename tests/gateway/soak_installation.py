"""A copy of the sources that the build of the deploy file installs, for gateways to start from."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path
from threading import Lock

ROOT = Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_S = 60

INSTALLER = """
import shutil
import sys
from pathlib import Path

target = Path(sys.argv[sys.argv.index("--target") + 1])
lines = Path(sys.argv[sys.argv.index("-r") + 1]).read_text().split()
for name in [line.split("==")[0] for line in lines]:
    shutil.copytree(Path({libraries!r}) / name, target / name, dirs_exist_ok=True)
"""
"""Replaces ``pip``: copies the libraries of this interpreter, so that a build needs no network."""


class Installation:
    """A checkout of its own, which is built again while gateways start from it.

    ``failed_builds`` has the output of each build that failed.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        self.failed_builds: list[str] = []
        self.change_lock = Lock()
        shutil.copytree(ROOT / "deploy", root / "deploy")
        shutil.copytree(ROOT / "src", root / "src", ignore=shutil.ignore_patterns("__pycache__"))
        libraries = next(path for path in sys.path if (Path(path) / "httptools").is_dir())
        (root / "tools/pip").mkdir(parents=True)
        (root / "tools/pip/__init__.py").touch()
        (root / "tools/pip/__main__.py").write_text(INSTALLER.format(libraries=libraries))
        deploy = tomllib.loads((root / "deploy/system.toml").read_text())
        self.build_command: str = deploy["build"]
        self.run_command: list[str] = deploy["roles"]["gateway"]["run"].split()
        self.build()

    def environment(self, python_path: str) -> dict[str, str]:
        """Return the variables of a process, as few as the platform passes on."""
        path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        return {"PATH": path, "PYTHONPATH": str(self.root / python_path)}

    def build(self) -> None:
        """Run the build of the deploy file; several may run at the same time."""
        result = subprocess.run(
            ["sh", "-c", self.build_command],
            cwd=self.root,
            env=self.environment("tools"),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=BUILD_TIMEOUT_S,
        )
        if result.returncode:
            self.failed_builds.append(f"status {result.returncode}: {result.stdout[-500:]}")

    def change_sources(self) -> None:
        """Change a source file without effect, so that the next build has something to install."""
        path = self.root / "src/masticgate/_version.py"
        with self.change_lock:
            changed = path.with_suffix(".new")
            changed.write_text(path.read_text() + "# changed\n")
            changed.replace(path)

    def start(self, node_file: Path, log: Path) -> "subprocess.Popen[bytes]":
        """Start a gateway with a settings file; its output is appended to ``log``."""
        environment = self.environment("target/deps") | {"MASTICGATE_NODE_FILE": str(node_file)}
        with log.open("ab") as output:
            return subprocess.Popen(
                self.run_command, cwd=self.root, stdout=output, stderr=output, env=environment
            )

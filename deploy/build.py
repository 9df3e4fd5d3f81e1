"""Makes the installation from which the gateway is started, with the standard library only.

    target/deps                     a link to the installation that new processes use
    target/installations/NAME       the package and its libraries, complete; never changed
    target/libraries/NAME           the libraries of one list of requirements

An installation becomes visible by one rename of the link, and the older ones stay for a while, so
that a build disturbs neither running processes nor those that are starting.
"""

import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from collections.abc import Iterator
from compileall import compile_dir
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src/masticgate"
REQUIREMENTS = ROOT / "deploy/requirements.txt"
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
INSTALLATIONS = TARGET / "installations"
LIBRARIES = TARGET / "libraries"
SCRATCH = TARGET / "scratch"

BINARY_INTERFACE = str(sysconfig.get_config_var("SOABI"))
"""The Python version and the architecture that compiled libraries are for."""

KEPT = 5
"""The number of newest installations, and of newest folders of libraries, that are not removed."""


def main() -> None:
    """Make an installation of the present sources and let new processes use it.

    :raises SystemExit: the sources do not compile.
    :raises subprocess.CalledProcessError: the libraries cannot be installed.
    """
    for folder in (INSTALLATIONS, LIBRARIES, SCRATCH):
        folder.mkdir(parents=True, exist_ok=True)
    with exclusive_build(), scratch_folder() as scratch:
        libraries = find_libraries(scratch)
        publish(find_installation(libraries, scratch), scratch)
        for parent in (INSTALLATIONS, LIBRARIES):
            remove_old(parent, scratch)


@contextmanager
def exclusive_build() -> Iterator[None]:
    """Wait until no other build runs in this checkout, and keep others waiting."""
    with (TARGET / "build.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextmanager
def scratch_folder() -> Iterator[Path]:
    """Provide a folder for what is unfinished or to be removed; remove those that were left."""
    for left_behind in SCRATCH.iterdir():
        shutil.rmtree(left_behind, ignore_errors=True)
    with tempfile.TemporaryDirectory(dir=SCRATCH, ignore_cleanup_errors=True) as folder:
        yield Path(folder)


def find_libraries(scratch: Path) -> Path:
    """Return the folder of the required libraries; install them if there is none."""
    requirements = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()[:16]
    folder = LIBRARIES / f"{BINARY_INTERFACE}-{requirements}"
    if not folder.exists():
        unfinished = scratch / "libraries"
        command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(unfinished)]
        subprocess.run([*command, "-r", str(REQUIREMENTS)], cwd=ROOT, check=True)
        unfinished.rename(folder)
    os.utime(folder)
    return folder


def find_installation(libraries: Path, scratch: Path) -> Path:
    """Return the installation of the present sources with ``libraries``; make it if needed."""
    installed = find_intact(libraries, digest(SOURCES))
    if installed.exists():
        return installed
    unfinished = scratch / "installation"
    package = unfinished / SOURCES.name
    shutil.copytree(libraries, unfinished)
    shutil.copytree(SOURCES, package, ignore=shutil.ignore_patterns("__pycache__"))
    # Compiled modules are used unchecked, so that no process writes them again.
    if not compile_dir(package, quiet=1, invalidation_mode=PycInvalidationMode.UNCHECKED_HASH):
        raise SystemExit(1)
    # The sources may have changed since their digest was taken.
    installed = find_intact(libraries, digest(package))
    if not installed.exists():
        unfinished.rename(installed)
    return installed


def find_intact(libraries: Path, sources: str) -> Path:
    """Return the folder for the sources with this digest: an intact installation or a free name."""
    # The name is short, since a process holds the path of each module many times.
    key = hashlib.sha256(f"{libraries.name} {sources}".encode()).hexdigest()[:8]
    for number in count(1):
        folder = INSTALLATIONS / f"{key}-{number}"
        if not folder.exists() or digest(folder / SOURCES.name) == sources:
            return folder
    raise AssertionError("unreachable")


def digest(package: Path) -> str:
    """Return a digest of the names and contents of a package's files."""
    found = hashlib.sha256()
    for path in sorted(package.rglob("*")):
        name = path.relative_to(package)
        if path.is_file() and "__pycache__" not in name.parts:
            data = path.read_bytes()
            found.update(f"{name}\0{len(data)}\0".encode() + data)
    return found.hexdigest()[:16]


def publish(installation: Path, scratch: Path) -> None:
    """Let new processes use ``installation``."""
    target = os.path.relpath(installation, TARGET)
    if DEPS.is_symlink() and os.readlink(DEPS) == target:
        return
    os.utime(installation)
    link = scratch / "deps"
    link.symlink_to(target)
    if DEPS.exists() and not DEPS.is_symlink():
        # A folder of an earlier release, which a link cannot replace.
        DEPS.rename(scratch / "earlier")
    link.replace(DEPS)


def remove_old(parent: Path, scratch: Path) -> None:
    """Remove all but the newest folders in ``parent``, never the installation in use."""
    newest = sorted(parent.iterdir(), key=lambda folder: folder.stat().st_mtime, reverse=True)
    for folder in newest[KEPT:]:
        if folder != DEPS.resolve():
            # A folder has its name only while it is complete.
            folder.rename(scratch / folder.name)


if __name__ == "__main__":
    main()

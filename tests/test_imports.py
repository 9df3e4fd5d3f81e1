"""Rules for imports, which keep decisions apart from the encoding of messages."""

import ast
import re
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parents[1] / "src" / "masticgate"
WIRE_LIBRARIES = {"capnp", "http", "pycurl", "socket", "werkzeug"}
ASSEMBLY_MODULES = {"_server.py", "server.py", "commands.py"}
UNNEEDED_LIBRARIES = {"capnp", "click", "logbook", "pycurl", "pydantic", "tree_sitter", "werkzeug"}
PLATFORM_NAMES = re.compile(
    r"x-masticgate|fanoutServices|minShardRatio|kv-watch|kv-range|coldRemainingMs|trafficSplit"
    r"|masticgate\.platform",
    re.IGNORECASE,
)


def imported_modules(path: Path) -> set[str]:
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add("." * node.level + (node.module or ""))
    return modules


def sources(folder: str) -> list[Path]:
    return sorted((PACKAGE / folder).rglob("*.py"))


class TestImports:
    @pytest.mark.parametrize("path", sources("request") + sources("version"), ids=str)
    def test_requests_and_versions_import_no_sockets_or_codecs(self, path):
        modules = imported_modules(path)
        assert not {module.split(".")[0] for module in modules} & WIRE_LIBRARIES
        assert not any("connection" in module for module in modules)

    @pytest.mark.parametrize("path", sources("process"), ids=str)
    def test_process_imports_no_codecs_or_http_libraries(self, path):
        tops = {module.split(".")[0] for module in imported_modules(path)}
        assert not tops & (WIRE_LIBRARIES - {"socket"})

    @pytest.mark.parametrize("path", sources("connection"), ids=str)
    def test_connections_import_only_public_modules(self, path):
        private = {
            module
            for module in imported_modules(path)
            if module.startswith(("..request.", "..version.", "..process."))
        }
        assert not private

    def test_only_platform_adapter_contains_platform_names(self):
        others = [path for path in sources(".") if "platform" not in path.parts]
        named = [path for path in others if PLATFORM_NAMES.search(path.read_text("utf-8"))]
        assert not named

    @pytest.mark.parametrize("path", sources("platform"), ids=str)
    def test_platform_adapter_uses_no_tasks_or_locks(self, path):
        tops = {module.split(".")[0] for module in imported_modules(path)}
        assert not tops & {"threading", "concurrent", "random", "heapq"}

    def test_gateway_loads_no_unneeded_libraries(self):
        code = "import sys, masticgate.platform._serve; print(*sys.modules)"
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        tops = {name.split(".")[0] for name in loaded.stdout.split()}
        assert not tops & UNNEEDED_LIBRARIES

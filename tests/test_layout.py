"""Tests of the layout: who may import what, and the size of modules."""

import ast
from collections import abc
import functools
import importlib.util
import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = ROOT / "src" / "sycamorespool"
PACKAGE = "sycamorespool"
CODE = ("src", "tests", "benchmarks", "examples")
MAX_LINES = 400
MAX_COLUMNS = 79

DATA_MODULES = frozenset(
    {
        "backends",
        "configuration",
        "exceptions",
        "models",
        "records",
        "routing_table",
    }
)
PEER_ROOMS = frozenset(
    {"backend_servers", "callers", "entries", "operators", "platform"}
)
ROOMS = PEER_ROOMS | {"decisions", "standins"}
PURE_LIBRARIES = frozenset(
    [
        "__future__",
        "bisect",
        "collections",
        "dataclasses",
        "enum",
        "functools",
        "hashlib",
        "heapq",
        "itertools",
        "math",
        "msgspec",
        "operator",
        "random",
        "statistics",
        "string",
        "struct",
        "types",
        "typing",
        "zlib",
    ]
)
NAMING_ROOMS = frozenset({"platform", "standins"})
HOSTED_NAMES = (
    "/api/",
    "SYCAMORESPOOL_NODE_FILE",
    "Sycamorespool-",
    "api_keys",
    "fencing_token",
    '"keyed.',
    "max_attempts",
    "slo_ms",
    "sycamorespool-",
)
PROCESS_STARTERS = frozenset({"multiprocessing", "pty", "subprocess"})
THREAD_STARTERS = frozenset({"_thread", "concurrent", "threading"})
PROCESS_CALLS = frozenset(
    [
        "os.fork",
        "os.forkpty",
        "os.popen",
        "os.posix_spawn",
        "os.posix_spawnp",
        "os.system",
        "trio.run_process",
        "trio.lowlevel.open_process",
        "trio.to_thread.run_sync",
        "trio.to_thread",
    ]
)
PROCESS_PREFIXES = ("os.exec", "os.spawn")
EASED_TESTS = frozenset(
    {
        "pytest.importorskip",
        "pytest.mark.skip",
        "pytest.mark.skipif",
        "pytest.mark.xfail",
        "pytest.skip",
        "pytest.xfail",
        "time.sleep",
    }
)


def list_files(*folders: str) -> list[str]:
    paths = [path for f in folders for path in (ROOT / f).rglob("*.py")]
    return sorted(str(path.relative_to(ROOT)) for path in paths)


def list_modules() -> list[str]:
    return sorted(str(p.relative_to(SOURCE)) for p in SOURCE.rglob("*.py"))


@functools.cache
def parse(path: pathlib.Path) -> ast.Module:
    return ast.parse(path.read_text(), str(path))


def find_imports(tree: ast.Module) -> abc.Iterator[str]:
    """Yield the dotted path of everything that a module imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def find_own_imports(module: str) -> set[str]:
    """Return the project's modules, without its name, that one imports."""
    prefix = f"{PACKAGE}."
    return {
        name.removeprefix(prefix)
        for name in find_imports(parse(SOURCE / module))
        if name.startswith(prefix)
    }


def find_dotted_names(tree: ast.Module) -> set[str]:
    """Return every dotted name, as ``os.path.join``, that is used."""
    return {
        ast.unparse(node)
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
    }


def get_room(name: str) -> str:
    """Return the room of ``room.module`` or ``room/module.py``."""
    head = name.replace("/", ".").partition(".")[0]
    return head if head in ROOMS else ""


def find_all_own_imports(module: str) -> set[str]:
    """Return the project's modules that one imports, also indirectly."""
    found: set[str] = set()
    waiting = [module]
    while waiting:
        for name in find_own_imports(waiting.pop()) - found:
            found.add(name)
            path = f"{name.replace('.', '/')}.py"
            if (SOURCE / path).exists():
                waiting.append(path)
    return found


def list_room(*rooms: str) -> list[str]:
    return [m for m in list_modules() if get_room(m) in rooms]


class TestRooms:
    @pytest.mark.parametrize("module", list_room("decisions"))
    def test_decisions_import_data_classes_only(self, module):
        own = find_own_imports(module)
        others = {n for n in own if get_room(n) != "decisions"}
        assert others <= DATA_MODULES
        foreign = {
            name.partition(".")[0]
            for name in find_imports(parse(SOURCE / module))
        }
        assert foreign - {PACKAGE} <= PURE_LIBRARIES

    @pytest.mark.parametrize("module", list_room("decisions"))
    def test_decisions_have_no_clock_randomness_or_io(self, module):
        tree = parse(SOURCE / module)
        names = find_dotted_names(tree)
        assert {n for n in names if n.startswith("random.")} <= {
            "random.Random"
        }
        called = {
            ast.unparse(node.func)
            for node in ast.walk(tree)
            if isinstance(node, ast.Call)
        }
        assert not called & {"open", "print", "input", "random.Random"}

    @pytest.mark.parametrize("module", list_room(*PEER_ROOMS))
    def test_room_imports_no_room_of_another_peer(self, module):
        rooms = {get_room(name) for name in find_own_imports(module)}
        assert rooms <= {"", "decisions", get_room(module)}

    @pytest.mark.parametrize("module", list_room("standins"))
    def test_standins_import_nothing_of_decisions(self, module):
        rooms = {get_room(name) for name in find_all_own_imports(module)}
        assert rooms <= {"", "standins"}

    @pytest.mark.parametrize("module", list_room("platform"))
    def test_adapter_decides_nothing(self, module):
        own = find_own_imports(module)
        assert not {name for name in own if get_room(name) == "decisions"}

    @pytest.mark.parametrize(
        "module",
        [m for m in list_modules() if get_room(m) not in NAMING_ROOMS],
    )
    def test_names_of_the_hosted_platform_stay_in_its_room(self, module):
        text = (SOURCE / module).read_text()
        assert [name for name in HOSTED_NAMES if name in text] == []

    def test_every_folder_is_a_known_room(self):
        folders = {p.parent.name for p in SOURCE.glob("*/__init__.py")}
        assert folders == ROOMS


class TestModules:
    @pytest.mark.parametrize("module", list_modules())
    def test_product_starts_no_process_or_thread(self, module):
        tree = parse(SOURCE / module)
        heads = {name.partition(".")[0] for name in find_imports(tree)}
        assert not heads & (PROCESS_STARTERS | THREAD_STARTERS)
        names = find_dotted_names(tree) | set(find_imports(tree))
        assert not names & PROCESS_CALLS
        assert not {n for n in names if n.startswith(PROCESS_PREFIXES)}

    @pytest.mark.parametrize("path", list_files(*CODE))
    def test_module_is_short(self, path):
        lines = (ROOT / path).read_text().splitlines()
        assert len(lines) <= MAX_LINES

    @pytest.mark.parametrize("path", list_files(*CODE))
    def test_imports_name_modules_only(self, path):
        for node in ast.walk(parse(ROOT / path)):
            if not isinstance(node, ast.ImportFrom):
                continue
            if node.module == "__future__":
                continue
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                assert importlib.util.find_spec(name) is not None, name

    @pytest.mark.parametrize("path", list_files("tests"))
    def test_tests_are_not_eased(self, path):
        assert not find_dotted_names(parse(ROOT / path)) & EASED_TESTS

    def test_linter_bounds_the_columns(self):
        ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"][
            "ruff"
        ]
        assert ruff["line-length"] <= MAX_COLUMNS
        assert "E" in ruff["lint"]["select"]
        assert "E501" not in ruff["lint"].get("ignore", [])

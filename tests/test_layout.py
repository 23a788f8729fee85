"""Tests of the layout: allowed imports, and the size of modules."""

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
ADAPTER_PACKAGES = frozenset(
    {"backend_servers", "callers", "entries", "operators", "platform"}
)
# One job each, for which several modules work together.
JOB_PACKAGES = frozenset({"keys", "peers", "requests", "store"})
SUBPACKAGES = ADAPTER_PACKAGES | JOB_PACKAGES | {"decisions", "standins"}
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
HOSTED_PACKAGES = frozenset({"platform", "standins"})
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
FORBIDDEN_IN_TESTS = frozenset(
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
    """Return the project's modules that a module imports directly.

    Their names lack the name of the project.
    """
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


def get_subpackage(name: str) -> str:
    """Return the subpackage of ``package.module`` or ``package/module.py``."""
    head = name.replace("/", ".").partition(".")[0]
    return head if head in SUBPACKAGES else ""


def find_all_own_imports(module: str) -> set[str]:
    """Return the project's modules that a module imports, also indirectly."""
    found: set[str] = set()
    pending = [module]
    while pending:
        for name in find_own_imports(pending.pop()) - found:
            found.add(name)
            path = f"{name.replace('.', '/')}.py"
            if (SOURCE / path).exists():
                pending.append(path)
    return found


def list_modules_of(*packages: str) -> list[str]:
    return [m for m in list_modules() if get_subpackage(m) in packages]


class TestPackages:
    @pytest.mark.parametrize("module", list_modules_of("decisions"))
    def test_decisions_import_data_modules_only(self, module):
        own = find_own_imports(module)
        others = {n for n in own if get_subpackage(n) != "decisions"}
        assert others <= DATA_MODULES
        foreign = {
            name.partition(".")[0]
            for name in find_imports(parse(SOURCE / module))
        }
        assert foreign - {PACKAGE} <= PURE_LIBRARIES

    @pytest.mark.parametrize("module", list_modules_of("decisions"))
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

    @pytest.mark.parametrize("module", list_modules_of(*ADAPTER_PACKAGES))
    def test_adapter_package_imports_no_other_adapter(self, module):
        packages = {get_subpackage(name) for name in find_own_imports(module)}
        own = get_subpackage(module)
        assert packages <= {"", "decisions", own} | JOB_PACKAGES

    @pytest.mark.parametrize("module", list_modules_of("standins"))
    def test_standins_import_only_shared_modules(self, module):
        packages = {
            get_subpackage(name) for name in find_all_own_imports(module)
        }
        assert packages <= {"", "standins"}

    @pytest.mark.parametrize("module", list_modules_of("platform"))
    def test_platform_adapter_imports_no_decisions(self, module):
        own = find_own_imports(module)
        assert not {
            name for name in own if get_subpackage(name) == "decisions"
        }

    @pytest.mark.parametrize(
        "module",
        [
            m
            for m in list_modules()
            if get_subpackage(m) not in HOSTED_PACKAGES
        ],
    )
    def test_names_of_the_hosted_platform_stay_in_its_packages(self, module):
        text = (SOURCE / module).read_text()
        assert [name for name in HOSTED_NAMES if name in text] == []

    @pytest.mark.parametrize("package", sorted(JOB_PACKAGES))
    def test_package_of_a_job_says_what_it_is(self, package):
        tree = parse(SOURCE / package / "__init__.py")
        assert ast.get_docstring(tree)
        assert not list(find_imports(tree))

    def test_every_folder_is_a_known_package(self):
        folders = {p.parent.name for p in SOURCE.glob("*/__init__.py")}
        assert folders == SUBPACKAGES


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
    def test_tests_do_not_skip_xfail_or_sleep(self, path):
        assert not find_dotted_names(parse(ROOT / path)) & FORBIDDEN_IN_TESTS

    def test_linter_bounds_the_columns(self):
        ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"][
            "ruff"
        ]
        assert ruff["line-length"] <= MAX_COLUMNS
        assert "E" in ruff["lint"]["select"]
        assert "E501" not in ruff["lint"].get("ignore", [])

"""Decisions import no sockets, threads, HTTP or encodings, and have no import cycle."""

import ast
from pathlib import Path

import pytest

import monsoonmill

PACKAGE = Path(monsoonmill.__file__).parent
FORBIDDEN = {
    "asyncio",
    "cheroot",
    "http",
    "msgpack",
    "queue",
    "selectors",
    "socket",
    "threading",
    "urllib3",
}


def imported_modules(path):
    """Yield the modules that a source file imports, at any level of nesting."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"relative import in {path}"
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def source_of(module):
    """Return the source file of a module of the package; None for other modules."""
    path = PACKAGE.parent / module.replace(".", "/")
    candidates = (path.with_suffix(".py"), path / "__init__.py")
    return next((candidate for candidate in candidates if candidate.is_file()), None)


def reachable_files(paths):
    """Return the files that the given files import, each with its import chain."""
    chains = {path: path.name for path in paths}
    pending = list(paths)
    while pending:
        path = pending.pop()
        for module in imported_modules(path):
            found = source_of(module)
            if found is not None and found not in chains:
                chains[found] = f"{chains[path]} -> {module}"
                pending.append(found)
    return chains


def violations(paths):
    for path, chain in reachable_files(paths).items():
        for module in imported_modules(path):
            if module.partition(".")[0] in FORBIDDEN:
                yield f"{chain} -> {module}"


def test_decisions_import_no_input_or_output():
    decisions = sorted((PACKAGE / "decisions").rglob("*.py"))
    assert len(decisions) > 10
    assert list(violations(decisions)) == []


def test_codec_interfaces_import_no_encoding():
    assert list(violations([PACKAGE / "codec.py", PACKAGE / "messages.py"])) == []


@pytest.mark.parametrize("module", ["node/web.py", "task.py", "codec_msgpack.py"])
def test_check_finds_forbidden_imports(module):
    assert list(violations([PACKAGE / module]))


def decision_package(path):
    """Return the package of a decision; None for the modules that all of them share."""
    folder = path.parent.name
    return None if folder == "decisions" else folder


def package_imports():
    """Return the packages that each package of decisions imports."""
    graph = {}
    for path in (PACKAGE / "decisions").rglob("*.py"):
        sources = (source_of(module) for module in imported_modules(path))
        imports = (
            decision_package(source)
            for source in sources
            if source is not None and PACKAGE / "decisions" in source.parents
        )
        graph.setdefault(decision_package(path), set()).update(imports)
    graph.pop(None)
    return {package: imports - {package, None} for package, imports in graph.items()}


def test_packages_of_decisions_have_no_import_cycle():
    remaining = package_imports()
    assert len(remaining) > 10
    while remaining:
        leaves = {
            package
            for package, imports in remaining.items()
            if not imports & remaining.keys()
        }
        assert leaves, f"import cycle among {sorted(remaining)}"
        remaining = {
            package: imports
            for package, imports in remaining.items()
            if package not in leaves
        }

"""Decisions know nothing of sockets, threads, HTTP and encodings."""

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


def imported(path):
    """Yield the modules that a source file imports, wherever it does so."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"relative import in {path}"
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def source_of(module):
    """Return the file of a module of the package; None for others."""
    path = PACKAGE.parent / module.replace(".", "/")
    candidates = (path.with_suffix(".py"), path / "__init__.py")
    return next((one for one in candidates if one.is_file()), None)


def reachable(paths):
    """Return the package's files that some files import, with a way to each."""
    ways = {path: path.name for path in paths}
    pending = list(paths)
    while pending:
        path = pending.pop()
        for module in imported(path):
            found = source_of(module)
            if found is not None and found not in ways:
                ways[found] = f"{ways[path]} -> {module}"
                pending.append(found)
    return ways


def violations(paths):
    for path, way in reachable(paths).items():
        for module in imported(path):
            if module.partition(".")[0] in FORBIDDEN:
                yield f"{way} -> {module}"


def test_decisions_reach_no_input_or_output():
    decisions = sorted((PACKAGE / "decisions").rglob("*.py"))
    assert len(decisions) > 10
    assert list(violations(decisions)) == []


def test_codec_interfaces_reach_no_encoding():
    assert list(violations([PACKAGE / "codec.py", PACKAGE / "messages.py"])) == []


@pytest.mark.parametrize("module", ["node/web.py", "task.py", "codec_msgpack.py"])
def test_the_check_finds_what_is_there(module):
    assert list(violations([PACKAGE / module]))


def subject_of(path):
    """Return the folder of a decision; None for what all of them share."""
    folder = path.parent.name
    return None if folder == "decisions" else folder


def subjects():
    """Return, by folder of decisions, the folders that it imports."""
    graph = {}
    for path in (PACKAGE / "decisions").rglob("*.py"):
        found = (source_of(module) for module in imported(path))
        others = (
            subject_of(one)
            for one in found
            if one is not None and PACKAGE / "decisions" in one.parents
        )
        graph.setdefault(subject_of(path), set()).update(others)
    graph.pop(None)
    return {one: others - {one, None} for one, others in graph.items()}


def test_no_subject_of_decisions_needs_itself_through_others():
    left = subjects()
    assert len(left) > 10
    while left:
        free = {one for one, others in left.items() if not others & left.keys()}
        assert free, f"circle among {sorted(left)}"
        left = {one: others for one, others in left.items() if one not in free}

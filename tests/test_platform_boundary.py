"""Only the platform package and its stand-ins depend on the platform."""

import re
from pathlib import Path

import monsoonmill

PACKAGE = Path(monsoonmill.__file__).parent
PLATFORM_NAMES = re.compile(
    r"X-Monsoonmill|/monsoonmill/|kv-(txn|key|range|watch|lease|keep)"
    r"|MONSOONMILL_NODE_FILE|traffic_split|route_type|path_prefix|api_keys"
    r"|heartbeat_addr|app_addr|listen_addrs"
)
PLATFORM_FOLDERS = ("platform", "standin")


def files_outside_platform():
    for path in PACKAGE.rglob("*"):
        folder = path.relative_to(PACKAGE).parts[0]
        if path.suffix in (".py", ".yaml", ".toml") and folder not in PLATFORM_FOLDERS:
            yield path


def test_no_other_file_contains_the_platforms_names():
    found = {
        f"{path.name}: {match.group()}"
        for path in files_outside_platform()
        for match in PLATFORM_NAMES.finditer(path.read_text())
    }
    assert found == set()


def test_no_other_file_imports_the_platform_package():
    imports = re.compile(r"monsoonmill\.platform")
    found = [
        path.name
        for path in files_outside_platform()
        if imports.search(path.read_text())
    ]
    assert found == []


def test_platform_package_is_less_than_a_tenth_of_the_code():
    platform_lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    all_lines = sum(
        len(path.read_text().splitlines()) for path in PACKAGE.rglob("*.py")
    )
    assert platform_lines < all_lines / 10

"""The build of the deploy file, with stand-ins for Python and the machine's kind."""

from os import environ
from pathlib import Path
from subprocess import run

import pytest

ROOT = Path(__file__).parent.parent
FAKE_PYTHON = """#!/bin/sh
case "$1 $2" in
"-VV ") echo "Python $FAKE_VERSION" ;;
"-m pip") echo pip >> calls; mkdir -p target/deps ;;
esac
"""
FAKE_UNAME = """#!/bin/sh
echo "Linux $FAKE_MACHINE"
"""


@pytest.fixture
def checkout(tmp_path):
    """A checkout with the files that the build uses."""
    (tmp_path / "deploy").mkdir()
    (tmp_path / "src" / "monsoonmill").mkdir(parents=True)
    for name in ("build.sh", "requirements.txt"):
        (tmp_path / "deploy" / name).write_text((ROOT / "deploy" / name).read_text())
    programs = tmp_path / "bin"
    programs.mkdir()
    for name, text in (("python3", FAKE_PYTHON), ("uname", FAKE_UNAME)):
        (programs / name).write_text(text)
        (programs / name).chmod(0o755)
    (tmp_path / "target").mkdir()
    return tmp_path


def build(checkout, version="3.11.6", machine="aarch64"):
    """Run the build; return how often libraries have been installed so far."""
    env = {
        "PATH": f"{checkout / 'bin'}:{environ['PATH']}",
        "FAKE_VERSION": version,
        "FAKE_MACHINE": machine,
    }
    run(["sh", "deploy/build.sh"], cwd=checkout, env=env, check=True)
    return (checkout / "calls").read_text().count("pip")


# Libraries of another kind of machine were kept, so that no node could start.
def test_build_replaces_libraries_of_another_machine_or_interpreter(checkout):
    assert build(checkout) == 1
    assert build(checkout, machine="x86_64") == 2
    assert build(checkout, machine="x86_64", version="3.12.1") == 3


def test_build_keeps_libraries_that_still_fit(checkout):
    assert build(checkout) == 1
    assert build(checkout) == 1


def test_build_replaces_libraries_whose_pins_have_changed(checkout):
    assert build(checkout) == 1
    with open(checkout / "deploy" / "requirements.txt", "a") as file:
        file.write("another==1.0\n")
    assert build(checkout) == 2

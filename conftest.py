"""Pass over the tests that KNOWN-RED.txt lists, print them, and report every failure."""

import gc
from collections.abc import Generator
from pathlib import Path

import pytest

_KNOWN_RED_FILE = Path(__file__).parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def _known_red() -> frozenset[str]:
    """Return the ids of the tests that fail for a known fault."""
    if not _KNOWN_RED_FILE.exists():
        return frozenset()
    lines = _KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let exactly the listed tests fail."""
    known_red = _known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport() -> Generator[
    None, pytest.TestReport, pytest.TestReport
]:
    """Format the failure without the garbage collector.

    The parser of CPython 3.11 fails if a finalizer runs it while it builds a tree, as
    the traceback of an exception in a finalizer does.
    """
    is_enabled = gc.isenabled()
    gc.disable()
    try:
        return (yield)
    finally:
        if is_enabled:
            gc.enable()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests after every run."""
    for node_id in sorted(_known_red()):
        terminalreporter.write_line(f"known red: {node_id}")

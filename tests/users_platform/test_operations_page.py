"""Tests that docs/OPERATIONS.md lists the events and fields that the code logs."""

import re
from pathlib import Path

import pytest
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._entry_metrics import EntryMetrics

_ROOT = Path(__file__).parents[2]
_SOURCES = _ROOT / "packages/cardamomshunt-node/src/cardamomshunt_node"
_CALL = re.compile(r'log\.write(?:_request)?\(\s*"([a-z_]+)"')
_PAGE = (_ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
_SECTION = _PAGE.partition("## On the users' platform")[2].partition("### From")[0]


def written_events() -> set[str]:
    found = {"leading", "following"}
    for path in _SOURCES.glob("*.py"):
        found |= set(_CALL.findall(path.read_text(encoding="utf-8")))
    return found


def documented_events() -> set[str]:
    rows = [line for line in _SECTION.splitlines() if line.startswith("| `")]
    return {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}


def test_documented_and_logged_events_are_the_same():
    assert written_events() == documented_events()


def test_documented_fields_of_requests_are_those_logged():
    paths = [*sorted(_SOURCES.glob("_line_*.py")), _SOURCES / "_statement_sender.py"]
    sources = "".join(path.read_text(encoding="utf-8") for path in paths)
    for event in ("read", "acknowledged", "transaction", "refused", "statement_sent"):
        row = next(r for r in _SECTION.splitlines() if r.startswith(f"| `{event}`"))
        call = re.search(
            rf'write_request\(\s*"{event}",(.*?)\n        \)', sources, re.DOTALL
        )
        assert call is not None
        written = set(re.findall(r"^\s+(\w+)=", call.group(1), re.MULTILINE))
        assert written == set(re.findall(r"`(\w+)`", row.split("|")[2]))


def documented_metrics(page):
    return set(re.findall(r"^\| `(cardamomshunt_\w+)`", page, re.MULTILINE))


@pytest.mark.parametrize(
    ("heading", "metrics", "n_documented"),
    [
        ("Connections and teams", EntryMetrics(), 4),
        ("Control has no leader", ControlMetrics(), 3),
    ],
)
def test_documented_metrics_are_served(heading, metrics, n_documented):
    # Guards against a dashboard that reads a metric under an outdated name.
    section = _PAGE.partition(f"\n### {heading}\n")[2].partition("\n### ")[0]
    served = set(re.findall(r"^# HELP (\w+)", metrics.render().decode(), re.MULTILINE))
    assert len(documented_metrics(section)) == n_documented
    assert documented_metrics(section) <= served


def test_metrics_are_documented_in_known_sections():
    # Guards against a table of metrics that no test compares with the daemons.
    assert len(documented_metrics(_PAGE)) == 7

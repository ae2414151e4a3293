"""The example files are valid and the schemas in the docs are up to date."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt_cli._exit_codes import ExitCode
from cardamomshunt_cli._patch import read_patch_file
from cardamomshunt_node.settings import load_settings
from click.testing import Result

_ROOT = Path(__file__).parents[3]
_SITES = ["kiti-bora", "zarqa"]


@pytest.mark.parametrize("site", _SITES)
def test_full_set_of_settings(ctl: Callable[..., Result], site: str) -> None:
    folder = _ROOT / "examples" / site
    files = [*folder.glob("control-*.yaml"), *folder.glob("proxy-*.yaml")]
    assert len(files) == 12
    result = ctl([], "--json", "check", *map(str, files))
    assert result.exit_code == ExitCode.OK, result.output
    assert json.loads(result.output)["warnings"] == []
    by_zone: dict[str, int] = {}
    for file in files:
        zone = load_settings(file).zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    assert list(by_zone.values()) == [4, 4, 4]


@pytest.mark.parametrize("site", _SITES)
def test_configuration_patch(site: str) -> None:
    """Guards against misspelt paths, which control would refuse on first deployment."""
    document: dict[str, Any] = {}
    for change in read_patch_file(_ROOT / "examples" / site / "configuration.yaml"):
        *tables, name = change.path.split(".")
        table = document
        for item in tables:
            table = table.setdefault(item, {})
        table[name] = change.value
    decoded = msgspec.to_builtins(msgspec.convert(document, ClusterConfiguration))
    assert _paths(document) <= _paths(decoded)


def _paths(document: dict[str, Any], prefix: str = "") -> set[str]:
    paths: set[str] = set()
    for name, value in document.items():
        is_table = isinstance(value, dict)
        path = f"{prefix}{name}"
        paths |= _paths(value, f"{path}.") if is_table else {f"{path}={float(value)}"}
    return paths


@pytest.mark.parametrize("name", ["settings", "configuration"])
def test_schema_is_current(ctl: Callable[..., Result], name: str) -> None:
    committed = _ROOT / "docs" / f"{name}.schema.json"
    command = f"cardamomctl schema {name} > docs/{name}.schema.json"
    assert ctl([], "schema", name).output == committed.read_text(), command

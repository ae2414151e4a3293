"""Settings files are validated as a whole, and errors name the line and field."""

from pathlib import Path

import pytest
from cardamomshunt_node.settings import SettingsInvalidError, load_settings

_VALID = """\
node: proxy-1
role: proxy
zone: nairobi-a
peer_address: 127.0.0.1:7100
operator_address: 127.0.0.1:7101
caller_address: 127.0.0.1:7103
announcement_address: 127.0.0.1:7104
control_nodes:
  - node: control-1
    zone: nairobi-a
    peer_address: 127.0.0.1:7000
    operator_address: 127.0.0.1:7001
"""


def test_valid_file(tmp_path: Path) -> None:
    path = tmp_path / "proxy.yaml"
    path.write_text(_VALID)
    settings = load_settings(path)
    assert settings.control_nodes[0].peer_address.url == "tcp://127.0.0.1:7000"


@pytest.mark.parametrize(
    ("before", "after", "line", "field", "expected"),
    [
        ("role: proxy", "role: router", 2, "role", "proxy or control"),
        ("zone: nairobi-a\npeer", "zon: x\npeer", 3, "zon", "'zone'"),
        ("7103", "99999", 6, "caller_address", "host:port"),
        ("7000", "x", 11, "control_nodes.0.peer_address", "host:port"),
        ("node: proxy-1", "node: [1]", 1, "node", "non-empty string"),
        ("role: proxy", "role: [", 4, "file", "valid YAML"),
    ],
)
def test_errors_name_line_and_field(
    tmp_path: Path, before: str, after: str, line: int, field: str, expected: str
) -> None:
    path = tmp_path / "proxy.yaml"
    path.write_text(_VALID.replace(before, after, 1))
    with pytest.raises(SettingsInvalidError) as caught:
        load_settings(path)
    errors = [
        error
        for error in caught.value.errors
        if error.line == line and error.field == field
    ]
    assert errors and expected in errors[0].expected


def test_every_error_is_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "proxy.yaml"
    path.write_text("role: x\nnodee: y\n")
    with pytest.raises(SettingsInvalidError) as caught:
        load_settings(path)
    assert len(caught.value.errors) >= 6

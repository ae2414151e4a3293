"""Tests of session statements that are built again for the backend server."""

import pytest
from cardamomshunt_node._caller_edge_mysql import _literal
from cardamomshunt_node._mysql_session_statements import unescape_literal


@pytest.mark.parametrize(
    "text",
    [
        "'it''s'",
        r"'50\% of a\_b'",
        "'a b  '",
        "12345678901234567890",
        "1.10",
        "0.0000000001",
        "12345678901234567890.123456789",
    ],
)
def test_a_value_is_assigned_as_it_was_written(text: str) -> None:
    # Guards against decimals that lose digits, and escapes that lose a character.
    assert _literal(unescape_literal(text)) == text.replace("\\", "\\\\")

"""Tests of the parameters of prepared statements."""

import pytest
from cardamomshunt_node._mysql_parameters import count_placeholders


@pytest.mark.parametrize(
    ("sql", "n_placeholders"),
    [
        ("SELECT ? --\n, ?", 2),
        ("SELECT ? --", 1),
        ("SELECT ? -- ?\n, ?", 2),
        ("SELECT ? # ?\n, ?", 2),
        ("SELECT 1--?", 1),
        ("SELECT ?, /*! ? */ 1", 2),
        ("SELECT ?, /* ? */ 1", 1),
        ("SELECT `a``?`, ?", 1),
        (r"SELECT 'a\'?', ?", 1),
    ],
)
def test_placeholders_are_those_of_the_server(sql: str, n_placeholders: int) -> None:
    # Guards against parameters that are inserted at another place than meant.
    assert count_placeholders(sql) == n_placeholders

"""Tests of teams: which are valid, and which team a key belongs to."""

import pytest
from cardamomshunt.fleet import (
    ConfigurationInvalidError,
    GroupLimits,
    Route,
    RouteKind,
    Team,
    build_route_table,
    key_digest,
)

_GROUPS = [GroupLimits("db", 34)]


def make_route(**changes):
    fields = {
        "name": "r1",
        "database": "orders",
        "group": "db",
        "kind": RouteKind.PRIMARY,
        "statement_timeout_ms": 1_000.0,
        "objective_ms": 200.0,
        "is_public": False,
    }
    return Route(**(fields | changes))


def make_team(name="desk", keys=("k1",), **limits):
    return Team(name, frozenset(key_digest(key) for key in keys), **limits)


def make_table(teams, **route):
    return build_route_table(1, [make_route(**route)], _GROUPS, 3_000.0, teams)


@pytest.mark.parametrize(
    ("teams", "reason"),
    [
        ([make_team("a"), make_team("b")], "teams 'a' and 'b' share a key"),
        ([make_team("a"), make_team("a", ["k2"])], "'a' is listed twice"),
        ([make_team("")], "empty or malformed"),
        ([make_team("a b")], "empty or malformed"),
        ([make_team("a\r")], "empty or malformed"),
        ([make_team("a", [""])], "a key is empty"),
        ([make_team("a", rate_per_s=-1.0)], "rate_per_s must be finite"),
        ([make_team("a", rate_per_s=float("nan"))], "rate_per_s must be finite"),
        ([make_team("a", rate_per_s=1.0, burst=float("inf"))], "burst must be finite"),
        ([make_team("a", burst=5.0)], "a burst needs a rate_per_s"),
    ],
)
def test_invalid_teams_are_refused_with_team_and_reason(teams, reason):
    # Guards against a configuration that is acknowledged and cannot be obeyed.
    with pytest.raises(ConfigurationInvalidError, match=reason) as caught:
        make_table(teams)
    assert "k1" not in str(caught.value)


@pytest.mark.parametrize(
    ("key", "is_public", "team"),
    [
        ("k1", False, "desk"),
        ("k1", True, "desk"),
        ("k2", False, None),
        ("k2", True, ""),
        ("", False, None),
    ],
)
def test_the_key_names_the_team_and_public_routes_need_none(key, is_public, team):
    # Guards against sessions under another team, and against keys that are not needed.
    table = make_table([make_team()], is_public=is_public)
    assert table.team_of_session(table.routes["orders"], key_digest(key)) == team


def test_a_team_does_not_show_its_keys():
    # Guards against keys in logs and tracebacks: only digests are held.
    assert "k1" not in repr(make_table([make_team(keys=["secret-k1"])]))

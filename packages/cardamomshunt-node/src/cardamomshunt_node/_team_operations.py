"""Count of operations by team, with a bounded number of labels."""

from collections import Counter as Counts

from aioprometheus import Counter, Registry

_N_LABELLED_TEAMS = 10
# Not a valid name of a team, as it has a blank.
OTHER_TEAMS = "other teams"
# A labelled team keeps its label until another team has this many times its operations,
# so that teams of about the same size do not exchange labels at each reading.
_KEEP_FACTOR = 2


class TeamOperations:
    """Count operations under the names of the largest teams, and under one for the rest.

    The size of a team is its number of operations, halved at each ranking.
    """

    def __init__(self, registry: Registry) -> None:
        self._counter = Counter(
            "cardamomshunt_team_operations_total",
            "Operations that callers asked for, by team; the smaller teams share a label.",
            registry=registry,
        )
        self._sizes: Counts[str] = Counts()
        self._labelled: set[str] = set()

    def count(self, team: str) -> None:
        """Count an operation; one without a team is not counted."""
        if not team:
            return
        self._sizes[team] += 1
        if len(self._labelled) < _N_LABELLED_TEAMS:
            self._labelled.add(team)
        label = team if team in self._labelled else OTHER_TEAMS
        self._counter.inc({"team": label})

    def rank(self) -> None:
        """Give the labels to the largest teams, and end the series of the others."""
        weighted = Counts(
            {
                team: n * _KEEP_FACTOR if team in self._labelled else n
                for team, n in self._sizes.items()
            }
        )
        largest = {team for team, _ in weighted.most_common(_N_LABELLED_TEAMS)}
        for team in self._labelled - largest:
            self._counter.values.pop({"team": team}, None)
        self._labelled = largest
        self._sizes = Counts({team: n // 2 for team, n in self._sizes.items() if n > 1})

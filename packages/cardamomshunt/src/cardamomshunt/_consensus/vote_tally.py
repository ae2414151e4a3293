"""Votes for a node in a pre-vote or an election, and what is missing for a majority."""

from cardamomshunt._consensus.followers import majority
from cardamomshunt._consensus.messages import Member


class VoteTally:
    """Nodes that granted or refused their vote, and the number of rounds of asking."""

    __slots__ = ("_granted", "_refused", "n_rounds")

    def __init__(self) -> None:
        self._granted: set[str] = set()
        self._refused: set[str] = set()
        self.n_rounds = 0

    def clear(self) -> None:
        """Discard all votes and rounds."""
        self.restart()
        self.n_rounds = 0

    def restart(self) -> None:
        """Ask for the votes of another round."""
        self._granted = set()
        self._refused = set()
        self.n_rounds += 1

    def grant(self, node: str) -> None:
        """Count a granted vote, once for each node."""
        self._granted.add(node)
        self._refused.discard(node)

    def refuse(self, node: str) -> None:
        """Record a refused vote."""
        self._refused.add(node)

    def has_majority(self, voters: list[Member]) -> bool:
        """Return whether a majority of the voters granted their vote."""
        n_granted = sum(member.node in self._granted for member in voters)
        return bool(voters) and n_granted >= majority(len(voters))

    def describe(self, voters: list[Member]) -> str:
        """Return how each voter answered.

        >>> tally = VoteTally()
        >>> tally.grant("a")
        >>> tally.refuse("b")
        >>> names = ["a", "b", "c"]
        >>> members = [
        ...     Member(node=name, zone="", peer_address="", operator_address="")
        ...     for name in names
        ... ]
        >>> tally.describe(members)
        'granted: a; refused: b; silent: c'
        """
        names = [member.node for member in voters]
        granted = [name for name in names if name in self._granted]
        refused = [name for name in names if name in self._refused]
        silent = [name for name in names if name not in self._granted | self._refused]
        parts = (("granted", granted), ("refused", refused), ("silent", silent))
        return "; ".join(
            f"{kind}: {', '.join(nodes) or 'none'}" for kind, nodes in parts
        )

"""How a node without a place in the replicated log finds the others."""

from cardamomshunt._consensus.member_changes import with_incarnation
from cardamomshunt._consensus.messages import JoinReply, Member, Peer


class GroupJoiner:
    """Know whom to ask for admission, and when a first group may be formed."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        initial_members: list[Member],
        now_ms: float,
        *,
        may_form: bool,
    ) -> None:
        self.due_ms = now_ms
        self._node = node
        self._incarnation = incarnation
        self._initial_members = initial_members
        self._may_form = may_form
        self._blank_peers: dict[str, int] = {}
        self._addresses: set[str] = set()
        self.add_addresses(initial_members)

    def advance_if_due(self, now_ms: float, interval_ms: float) -> bool:
        """Tell whether to announce this node now; the next time is noted."""
        if now_ms < self.due_ms:
            return False
        self.due_ms = now_ms + interval_ms
        return True

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the nodes to ask."""
        return sorted(self._addresses)

    def add_addresses(self, members: list[Member]) -> None:
        """Ask these members too."""
        self._addresses |= {
            member.peer_address for member in members if member.node != self._node
        }

    @property
    def may_form_single_node_group(self) -> bool:
        """Tell whether this node is the only one of a first group."""
        names = [member.node for member in self._initial_members]
        return self._may_form and names == [self._node]

    def first_members(self) -> list[Member]:
        """Return the first members with this node's disk."""
        return self._with_own(self._initial_members)

    def on_reply(
        self, sender: Peer, message: JoinReply, *, has_log: bool
    ) -> list[Member] | None:
        """Take an answer; return the members to begin with, if they are known.

        A listed node with an empty log never voted, so it may vote by any list that
        names its disk; with an empty log it can't win against nodes that have entries.
        """
        is_listed = any(
            member.node == self._node and member.incarnation == self._incarnation
            for member in message.members
        )
        if is_listed and not has_log:
            return self._with_own(message.members)
        self.add_addresses(message.members)
        if message.is_formed:
            self._blank_peers.clear()
            return None
        self._blank_peers[sender.node] = message.incarnation
        return None if has_log else self._first_group()

    def _first_group(self) -> list[Member] | None:
        """Return the first members, once all listed nodes are seen with blank disks.

        Only the node with the smallest name does this, so there is one first list.
        """
        names = sorted(member.node for member in self._initial_members)
        if not self._may_form or not names or names[0] != self._node:
            return None
        seen = {**self._blank_peers, self._node: self._incarnation}
        if any(name not in seen for name in names):
            return None
        return with_incarnation(self._initial_members, seen)

    def _with_own(self, members: list[Member]) -> list[Member]:
        return with_incarnation(members, {self._node: self._incarnation})

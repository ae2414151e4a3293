"""Discovery of the group by a node that is not yet a member of it."""

from cardamomshunt._consensus.member_changes import with_incarnation
from cardamomshunt._consensus.messages import JoinReply, Member


class GroupJoiner:
    """Choose the nodes to ask for admission, and the members to start with.

    Without `may_form` this node only joins an existing group.
    """

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
        self._addresses: set[str] = set()
        self.add_addresses(initial_members)

    def advance_if_due(self, now_ms: float, interval_ms: float) -> bool:
        """Return whether an announcement is due; if so, schedule the next one."""
        if now_ms < self.due_ms:
            return False
        self.due_ms = now_ms + interval_ms
        return True

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the nodes to ask for admission."""
        return sorted(self._addresses)

    def add_addresses(self, members: list[Member]) -> None:
        """Add the addresses of these members to the nodes to ask."""
        self._addresses |= {
            member.peer_address for member in members if member.node != self._node
        }

    @property
    def may_form_single_node_group(self) -> bool:
        """Return whether this node may form a group with itself as the sole member."""
        names = [member.node for member in self._initial_members]
        return self._may_form and names == [self._node]

    def initial_members(self) -> list[Member]:
        """Return the initial members with this node's incarnation filled in."""
        return self._with_own_incarnation(self._initial_members)

    @property
    def seed_addresses(self) -> list[str]:
        """Return the addresses of the initial members, that of this node included."""
        return [member.peer_address for member in self._initial_members]

    def on_reply(self, message: JoinReply, *, has_log: bool) -> list[Member] | None:
        """Handle a reply; return the members to start with once they are known.

        A listed node with an empty log has never voted, so it may adopt any member list
        that contains its incarnation. With an empty log it can't win an election
        against nodes that have entries.
        """
        is_listed = any(
            member.node == self._node and member.incarnation == self._incarnation
            for member in message.members
        )
        if is_listed and not has_log:
            return self._with_own_incarnation(message.members)
        self.add_addresses(message.members)
        return None

    def start_with(self, members: list[Member]) -> list[Member] | None:
        """Return the agreed first members if this node's disk is one of them."""
        own = (self._node, self._incarnation)
        if any((item.node, item.incarnation) == own for item in members):
            return members
        self.add_addresses(members)
        return None

    def _with_own_incarnation(self, members: list[Member]) -> list[Member]:
        return with_incarnation(members, {self._node: self._incarnation})

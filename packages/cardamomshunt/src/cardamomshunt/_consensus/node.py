"""Replicated log of a control node: elections, replication and membership."""

from random import Random

import msgspec

from cardamomshunt._consensus.followers import (
    Followers,
    Progress,
    majority,
)
from cardamomshunt._consensus.formation import GroupFormation
from cardamomshunt._consensus.formation_messages import (
    FormationMessage,
    FormationRecord,
)
from cardamomshunt._consensus.joining import GroupJoiner
from cardamomshunt._consensus.log import ReplicatedLog
from cardamomshunt._consensus.log_bounds import LogBounds
from cardamomshunt._consensus.member_changes import (
    is_single_change,
    with_learner,
    with_voter_status,
    without_member,
)
from cardamomshunt._consensus.member_choice import (
    ChangeKind,
    MemberChange,
    MemberState,
    choose_change,
    choose_promotion,
)
from cardamomshunt._consensus.messages import (
    AppendEntries,
    AppendReply,
    ConsensusMessage,
    Entry,
    EntryKind,
    JoinHello,
    JoinReply,
    Member,
    Peer,
    PreVoteReply,
    PreVoteRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
    VoteRequest,
)
from cardamomshunt._consensus.options import (
    ConsensusOptions,
    ConsensusRole,
    RestoredState,
)
from cardamomshunt._consensus.outbox import Outbox
from cardamomshunt._consensus.replication import Lead, Replication
from cardamomshunt._consensus.snapshot_transfer import (
    SnapshotDamagedError,
    SnapshotSink,
    SnapshotSource,
)
from cardamomshunt._control.effects import ControlEffect
from cardamomshunt._shared.events import EventNumber


class ConsensusNode:
    """Run the replicated log of one node, after the Raft protocol with pre-votes.

    Replies that promise something are sent only once every write issued before them is
    durable. `pop_ready()` returns committed entries and installed snapshots.
    """

    def __init__(
        self,
        node: str,
        initial_members: list[Member],
        restored: RestoredState,
        random: Random,
        now_ms: float,
        options: ConsensusOptions | None = None,
        *,
        operator_address: str = "",
        may_form: bool = True,
        predecessor_ended_ms: float | None = None,
    ) -> None:
        self.node = node
        self._operator_address = operator_address
        self.incarnation = restored.incarnation
        self.options = options or ConsensusOptions()
        self.role = ConsensusRole.FOLLOWER
        self.leader: str | None = None
        self.vote = restored.vote
        self.log = ReplicatedLog(restored.snapshot, restored.entries)
        self.commit_index = restored.snapshot.index
        self.failure = ""
        self.disk_full_reason = ""
        self._random = random
        self._outbox = Outbox(self.log.last_index)
        self._ready: list[Entry | Snapshot] = []
        self._ready_index = restored.snapshot.index
        # A restart loses the time of the last contact with a leader, whose lease may
        # still be valid, so a contact is assumed at the latest time possible: when the
        # former process of this disk had ended, or now if that is unknown.
        contact_ms = now_ms if predecessor_ended_ms is None else predecessor_ended_ms
        self._assumed_contact_ms = min(contact_ms, now_ms)
        self._leader_contact_ms = self._assumed_contact_ms
        self._started_ms = now_ms
        self._election_deadline_ms = 0.0
        self._reset_pre_vote(now_ms)
        self._joiner = GroupJoiner(
            node, self.incarnation, initial_members, now_ms, may_form=may_form
        )
        self._formation: GroupFormation | None = None
        self._start_formation(initial_members, restored, now_ms, may_form=may_form)
        self._votes: set[str] = set()
        self._followers = Followers(node)
        self._leader_since_ms = 0.0
        self.first_index_of_term = 0
        self._transfer_to: str | None = None
        self._transfer_until_ms = 0.0
        self._snapshot_sink = SnapshotSink()
        self._snapshot_source = SnapshotSource()
        self._log_bounds = LogBounds(self.options.log_bounds)
        self._replication = Replication(
            self.incarnation,
            self.log,
            self._followers,
            self._snapshot_source,
            self._outbox,
            self.options,
        )

    # State

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote.term

    @property
    def members(self) -> list[Member]:
        """Return the members as this node knows them."""
        return self.log.members

    @property
    def voters(self) -> list[Member]:
        """Return the members that vote."""
        return [member for member in self.members if member.is_voter]

    @property
    def is_leader(self) -> bool:
        """Return whether this node is the leader of its term."""
        return self.role is ConsensusRole.LEADER

    @property
    def is_formed(self) -> bool:
        """Return whether this node, with its incarnation, is a member."""
        return self.member(self.node, self.incarnation) is not None

    @property
    def _is_voter(self) -> bool:
        member = self.member(self.node, self.incarnation)
        return member is not None and member.is_voter and not self.disk_full_reason

    def member(self, node: str, incarnation: int | None = None) -> Member | None:
        """Return a member by name and, if given, incarnation."""
        for member in self.members:
            if member.node == node and incarnation in (None, member.incarnation):
                return member
        return None

    def has_lease(self, now_ms: float) -> bool:
        """Return whether the lease rules out another leader at this time.

        A follower refuses votes for `election_min_ms` by its own clock after it heard
        from the leader; the drift bound covers a follower whose clock runs faster.
        """
        if not self.is_leader or self._transfer_to is not None:
            return False
        if self.commit_index < self.first_index_of_term:
            return False
        lease_ms = self.options.election_min_ms / (1.0 + self.options.clock_drift_max)
        contact_ms = self._followers.quorum_contact_ms(now_ms, self.voters)
        return now_ms < contact_ms + lease_ms

    def match_index(self, node: str) -> int:
        """Return the last index at which a follower's log is known to match."""
        return self._followers.match_index(node)

    def next_deadline_ms(self) -> float | None:
        """Return when `tick` is due, or None if it is not needed."""
        if self.failure:
            return None
        if not self.is_formed:
            return self._joiner.due_ms
        if not self.is_leader:
            if not self._is_voter:
                return (
                    self._rejoin_due_ms if self.options.admits_unknown_nodes else None
                )
            return self._election_deadline_ms
        due = self._followers.heartbeats_due_ms()
        return min(due, default=self._leader_since_ms + self.options.heartbeat_ms)

    # Inputs

    def tick(self, now_ms: float) -> list[ControlEffect]:
        """Run elections, heartbeats and announcements that are due."""
        if self.failure:
            return self._outbox.pop_effects()
        if not self.is_formed:
            self._tick_joining(now_ms)
        elif self.is_leader:
            self._tick_leader(now_ms)
        elif self._is_voter and now_ms >= self._election_deadline_ms:
            self._start_pre_vote(now_ms)
        if self.is_formed and not self.is_leader and self.options.admits_unknown_nodes:
            self._rejoin_if_removed(now_ms)
        return self._outbox.pop_effects()

    def on_message(
        self, now_ms: float, sender: Peer, message: ConsensusMessage
    ) -> list[ControlEffect]:
        """Handle a message from another control node."""
        if not self.failure:
            self._dispatch(now_ms, sender, message)
        return self._outbox.pop_effects()

    def on_storage_done(self, now_ms: float, sequence: int) -> list[ControlEffect]:
        """Record that all writes up to `sequence` are durable."""
        self._outbox.on_durable(sequence)
        if self._outbox.is_durable:
            self.disk_full_reason = ""
        if self.role is ConsensusRole.CANDIDATE:
            self._count_votes(now_ms)
        if self.is_leader:
            self._advance_commit(now_ms)
        return self._outbox.pop_effects()

    def on_storage_failed(self, now_ms: float, reason: str) -> list[ControlEffect]:
        """Stop voting, leading and acknowledging until a restart.

        After a failed sync it is unknown which writes are durable, and no later write
        can make up for that.
        """
        if not self.failure:
            self.failure = reason
            self._outbox.drop_deferred()
            self._become_follower(now_ms, self.term, None)
            self._emit(EventNumber.DISK_FAILED, self.node, reason)
        return self._outbox.pop_effects()

    def on_storage_full(self, now_ms: float, reason: str) -> list[ControlEffect]:
        """Stop campaigning and accepting proposals until the pending writes are durable.

        A leader goes on, as heartbeats need no write and the others commit what is
        pending, until it can hand over to a voter that has room.
        """
        if not self.failure and not self.disk_full_reason:
            self.disk_full_reason = reason
            if not self.is_leader:
                self._become_follower(now_ms, self.term, None)
            self._emit(EventNumber.DISK_FULL, self.node, reason)
        return self._outbox.pop_effects()

    def propose(self, now_ms: float, payload: bytes) -> int | None:
        """Append a command; return its index, or None if proposals are refused."""
        if not self.is_leader or self._transfer_to is not None:
            return None
        if self.disk_full_reason:
            return None
        return self._append_entry(now_ms, EntryKind.COMMAND, payload)

    def propose_members(self, now_ms: float, members: list[Member]) -> bool:
        """Propose a single-member change; return False if it is not allowed now."""
        if not self.can_change_members() or not is_single_change(self.members, members):
            return False
        payload = msgspec.msgpack.encode(members)
        self._append_entry(now_ms, EntryKind.MEMBERS, payload)
        return True

    def can_change_members(self) -> bool:
        """Return whether a membership change may start, as none is pending."""
        return (
            self.is_leader
            and self._transfer_to is None
            and not self.disk_full_reason
            and self.commit_index >= self.first_index_of_term
            and self.commit_index >= self.log.members_index
        )

    def transfer_leadership(self, now_ms: float) -> bool:
        """Transfer leadership to the most advanced other voter, if there is one."""
        if not self.is_leader:
            return False
        others = [
            member
            for member in self._other_voters()
            if not self._followers.of(member.node).is_disk_full
        ]
        if not others:
            return False
        best = max(others, key=lambda member: self.match_index(member.node))
        self._transfer_to = best.node
        self._transfer_until_ms = now_ms + self.options.transfer_timeout_ms
        self._continue_transfer(now_ms)
        return True

    def has_room(self, free_bytes: int, record_bytes: int) -> bool:
        """Return whether a record leaves the reserve that recovery needs."""
        snapshot_bytes = len(self.log.snapshot.state)
        reserve_bytes = self._log_bounds.reserve_bytes(snapshot_bytes, record_bytes)
        return free_bytes - record_bytes >= reserve_bytes

    def is_snapshot_due(self, index: int) -> bool:
        """Return whether to replace the log up to an applied index by a snapshot."""
        return index > self.log.snapshot.index and self._log_bounds.is_snapshot_due(
            index - self.log.snapshot.index,
            self.log.bytes_replaced_by(index),
            len(self.log.snapshot.state),
        )

    def compact(self, state: bytes, index: int) -> None:
        """Replace the log up to an applied index by a snapshot of the state."""
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index or self.failure:
            return
        members = self.log.members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, state=state)
        covered = self.log.entries_up_to(index)
        self.log.compact(snapshot, self._log_bounds.n_retained(covered, len(state)))
        self._persist_snapshot(snapshot, is_reset=False)

    def pop_ready(self) -> list[Entry | Snapshot]:
        """Return and remove what was committed since the last call, in order."""
        while self._ready_index < self.commit_index:
            self._ready_index += 1
            self._ready.append(self.log.entry_at(self._ready_index))
        ready, self._ready = self._ready, []
        return ready

    def pop_effects(self) -> list[ControlEffect]:
        """Return and remove the effects of proposals, which do not return them."""
        return self._outbox.pop_effects()

    # Effects

    def _emit(self, number: EventNumber, subject: str, detail: str = "") -> None:
        self._outbox.emit(number, subject, detail)

    def _send(self, address: str, message: ConsensusMessage) -> None:
        self._outbox.send(address, message)

    def _send_durable(self, address: str, message: ConsensusMessage) -> None:
        """Send a message once all writes issued so far are durable."""
        self._outbox.send_durable(address, message)

    def _set_vote(self, term: int, voted_for: str) -> None:
        self.vote = Vote(term, voted_for)
        self._outbox.persist_vote(self.vote)

    def _persist_entries(self, entries: list[Entry]) -> None:
        self._outbox.persist_entries(entries, self.log.last_index)

    def _persist_snapshot(self, snapshot: Snapshot, is_reset: bool) -> None:
        self._outbox.persist_snapshot(
            snapshot,
            self._snapshot_source.replace(snapshot),
            last_index=self.log.last_index,
            first_kept=self.log.base_index + 1,
            is_reset=is_reset,
        )

    # Joining

    def _start_formation(
        self,
        seeds: list[Member],
        restored: RestoredState,
        now_ms: float,
        *,
        may_form: bool,
    ) -> None:
        """Take part in the formation of the first group if this node is a seed.

        A disk takes part if it did before, or if it is that of the first start. Which
        of them it is must be on disk, as a later start may not be told.
        """
        is_seed = any(seed.node == self.node for seed in seeds)
        has_log = self.log.last_index > 0 or bool(self.members)
        if has_log or not is_seed or not (may_form or restored.formation):
            return
        n_required = len(seeds)
        if self.options.forms_with_majority:
            n_required = majority(len(seeds))
        self._formation = GroupFormation(
            self.node,
            self.incarnation,
            seeds,
            restored.formation or FormationRecord(),
            self._random,
            now_ms,
            n_required,
        )
        if restored.formation is None:
            self._outbox.persist_formation(self._formation.record)

    def _run_formation(self, now_ms: float) -> None:
        if self._formation is not None and not self.is_formed:
            message = self._formation.tick(now_ms)
            if message is not None:
                self._propose_members_to_seeds(message)

    def _propose_members_to_seeds(self, message: FormationMessage) -> None:
        for address in self._joiner.seed_addresses:
            self._send(address, message)

    def _on_formation_message(
        self, now_ms: float, sender: Peer, message: FormationMessage
    ) -> None:
        if self.is_formed or self.log.last_index > 0:
            self._send_durable(sender.address, self._join_reply())
            return
        formation = self._formation
        if formation is None:
            return
        record = formation.record
        step = formation.on_message(now_ms, sender.node, message)
        if formation.record != record:
            self._outbox.persist_formation(formation.record)
        if step.reply is not None:
            self._send_durable(sender.address, step.reply)
        if step.proposal is not None:
            self._propose_members_to_seeds(step.proposal)
        if step.members is not None:
            self._on_agreed(step.members)

    def _on_agreed(self, members: list[Member]) -> None:
        """Start with the agreed members, and let the others know them."""
        own = self._joiner.start_with(members)
        if own is not None:
            self._form(own)
        reply = JoinReply(
            term=self.term,
            incarnation=self.incarnation,
            is_formed=True,
            members=members,
        )
        for member in members:
            if member.node != self.node:
                self._send_durable(member.peer_address, reply)

    def _tick_joining(self, now_ms: float) -> None:
        self._run_formation(now_ms)
        if not self._joiner.advance_if_due(now_ms, self.options.join_interval_ms):
            return
        if self._joiner.may_form_single_node_group:
            self._form(self._joiner.initial_members())
            return
        self._send_hello()

    def _send_hello(self) -> None:
        hello = JoinHello(
            term=self.term,
            incarnation=self.incarnation,
            node=self.node,
            operator_address=self._operator_address,
        )
        for address in self._joiner.addresses:
            self._send(address, hello)

    @property
    def _rejoin_due_ms(self) -> float:
        """Return when to announce this node, unless a leader contacts it before."""
        without_leader_ms = self._leader_contact_ms + self.options.election_max_ms
        return max(self._joiner.due_ms, without_leader_ms)

    def _rejoin_if_removed(self, now_ms: float) -> None:
        """Announce this node if no leader contacts it, as it may have been removed."""
        if now_ms < self._rejoin_due_ms:
            return
        self._joiner.advance_if_due(now_ms, self.options.join_interval_ms)
        self._joiner.add_addresses(self.members)
        self._send_hello()

    def _on_join_hello(self, now_ms: float, sender: Peer, message: JoinHello) -> None:
        self._send_durable(sender.address, self._join_reply())
        member = self.member(message.node)
        if member is not None and member.incarnation == message.incarnation:
            return
        if member is None and not self.options.admits_unknown_nodes:
            return
        members = with_learner(self.members, sender, message)
        if self.propose_members(now_ms, members):
            self._emit(
                EventNumber.MEMBER_CATCHING_UP, message.node, str(message.incarnation)
            )

    def _join_reply(self) -> JoinReply:
        return JoinReply(
            term=self.term,
            incarnation=self.incarnation,
            is_formed=self.is_formed or self.log.last_index > 0,
            members=self.members,
        )

    def _on_join_reply(self, now_ms: float, sender: Peer, message: JoinReply) -> None:
        if self.is_formed:
            return
        has_log = self.log.last_index > 0
        members = self._joiner.on_reply(message, has_log=has_log)
        if members is not None:
            self._form(members)
        elif self._formation is not None and not message.is_formed:
            self._formation.on_empty_seed(sender.node, message.incarnation)
            self._run_formation(now_ms)

    def _form(self, members: list[Member]) -> None:
        snapshot = Snapshot(members=members)
        self.log.install(snapshot)
        self._persist_snapshot(snapshot, is_reset=True)
        self._emit(EventNumber.QUORUM_REGAINED, self.node, str(len(members)))

    # Membership changes

    def _maintain_members(self, now_ms: float) -> None:
        """Maintain the configured number of voters, one change at a time."""
        if not self.can_change_members():
            return
        members = [self._state_of(now_ms, item) for item in self._other_members()]
        if self.options.admits_unknown_nodes:
            n_extra = len(self.voters) - self.options.n_voters
            change = choose_change(members, n_extra)
        else:
            change = choose_promotion(members)
        if change is not None:
            self._change_member(now_ms, change)

    def _state_of(self, now_ms: float, member: Member) -> MemberState:
        progress = self._followers.of(member.node)
        is_known = member.incarnation != 0
        return MemberState(
            node=member.node,
            is_voter=member.is_voter,
            has_answered=progress.has_answered,
            is_unresponsive=self._is_unresponsive(now_ms, member, progress),
            is_caught_up=is_known and self._is_caught_up(progress),
        )

    def _is_caught_up(self, progress: Progress) -> bool:
        """Return whether a follower lacks little of the log."""
        n_behind = self.log.last_index - progress.match_index
        needs_snapshot = progress.match_index < self.log.base_index
        if needs_snapshot or n_behind > self.options.n_entries_behind_max:
            return False
        bytes_behind = self.log.bytes_from(progress.match_index + 1)
        return n_behind <= 1 or bytes_behind <= self.options.bytes_behind_max

    def _is_unresponsive(
        self, now_ms: float, member: Member, progress: Progress
    ) -> bool:
        """Return whether a member has been silent since it could have answered.

        A voter whose disk stays full counts as silent, as it acknowledges nothing new. A
        new learner may take long for its first answer; a voter has a log already.
        """
        limit_ms = self.options.retire_after_ms
        if member.is_voter and progress.full_ms(now_ms) > limit_ms:
            return True
        if member.is_voter and not progress.has_answered:
            limit_ms = min(limit_ms, self.options.first_answer_ms)
        return progress.silent_ms(now_ms) > limit_ms

    def _change_member(self, now_ms: float, change: MemberChange) -> None:
        node = change.node
        match change.kind:
            case ChangeKind.PROMOTE:
                members = with_voter_status(self.members, node, is_voter=True)
                number, detail = EventNumber.MEMBER_ADDED, ""
            case ChangeKind.DEMOTE:
                members = with_voter_status(self.members, node, is_voter=False)
                number, detail = EventNumber.MEMBER_CATCHING_UP, "demoted to learner"
            case ChangeKind.REMOVE:
                members = without_member(self.members, node)
                number, detail = EventNumber.MEMBER_REMOVED, ""
        if self.propose_members(now_ms, members):
            self._emit(number, node, detail)

    # Elections

    def _reset_election(self, now_ms: float) -> None:
        self._election_deadline_ms = now_ms + self._random.uniform(
            self.options.election_min_ms, self.options.election_max_ms
        )

    def _reset_pre_vote(self, now_ms: float) -> None:
        """Schedule the next pre-vote, soon while all nodes may be restarting.

        Each node refuses pre-votes for `election_min_ms` after its own start, so those
        of the node that starts first are refused until a majority has run for as long.
        Nodes that start at once begin one after another, as votes would be split.
        """
        if not self._is_restarting(now_ms):
            self._reset_election(now_ms)
            return
        earliest_ms = self._assumed_contact_ms + self.options.election_min_ms
        n_pauses = self._random.uniform(0.5, 1.0)
        if now_ms <= max(earliest_ms, self._started_ms):
            n_pauses = 0.5 * self._voter_rank + self._random.uniform(0.0, 0.25)
        pause_ms = self.options.restart_pre_vote_ms * n_pauses
        self._election_deadline_ms = max(now_ms, earliest_ms) + pause_ms

    def _is_restarting(self, now_ms: float) -> bool:
        """Return whether this node, and maybe all nodes, started a short time ago."""
        return (
            self.options.restart_pre_vote_ms > 0.0
            and self._leader_contact_ms == self._assumed_contact_ms
            and now_ms < self._started_ms + self.options.restart_period_ms
            and self.log.last_index > 0
        )

    @property
    def _voter_rank(self) -> int:
        return sum(member.node < self.node for member in self.voters)

    def _become_follower(self, now_ms: float, term: int, leader: str | None) -> None:
        was_leader = self.is_leader
        if term > self.term:
            self._set_vote(term, "")
        if self.role is ConsensusRole.PRE_CANDIDATE:
            self._reset_pre_vote(now_ms)
        elif self.role is not ConsensusRole.FOLLOWER:
            self._reset_election(now_ms)
        self.role = ConsensusRole.FOLLOWER
        self.leader = leader
        self._transfer_to = None
        self._votes = set()
        self._followers.clear()
        if was_leader:
            self._emit(EventNumber.LEADER_STEPPED_DOWN, self.node, str(self.term))

    def _start_pre_vote(self, now_ms: float) -> None:
        self._reset_pre_vote(now_ms)
        self.role = ConsensusRole.PRE_CANDIDATE
        self.leader = None
        self._votes = {self.node}
        if self._has_quorum(self._votes):
            self._start_election(now_ms, is_transfer=False)
            return
        for member in self._other_voters():
            request = PreVoteRequest(
                term=self.term + 1,
                incarnation=self.incarnation,
                voter_incarnation=member.incarnation,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
            )
            self._send(member.peer_address, request)

    def _start_election(self, now_ms: float, is_transfer: bool) -> None:
        self._reset_election(now_ms)
        if self._is_restarting(now_ms):
            pause_ms = self.options.restart_pre_vote_ms * self._random.uniform(3.0, 5.0)
            self._election_deadline_ms = now_ms + pause_ms
        self.role = ConsensusRole.CANDIDATE
        self.leader = None
        self._votes = set()
        self._set_vote(self.term + 1, f"{self.node}/{self.incarnation}")
        for member in self._other_voters():
            request = VoteRequest(
                term=self.term,
                incarnation=self.incarnation,
                voter_incarnation=member.incarnation,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                is_transfer=is_transfer,
            )
            self._send_durable(member.peer_address, request)
        self._count_votes(now_ms)

    def _other_voters(self) -> list[Member]:
        return [member for member in self.voters if member.node != self.node]

    def _has_quorum(self, nodes: set[str]) -> bool:
        voters = self.voters
        n_present = sum(member.node in nodes for member in voters)
        return bool(voters) and n_present >= majority(len(voters))

    def _has_live_leader(self, now_ms: float) -> bool:
        if self.is_leader:
            return True
        return now_ms < self._leader_contact_ms + self.options.election_min_ms

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _on_pre_vote_request(
        self, now_ms: float, sender: Peer, message: PreVoteRequest
    ) -> None:
        is_granted = (
            self._is_for_this_disk(message)
            and message.term > self.term
            and not self._has_live_leader(now_ms)
            and self._is_up_to_date(message.last_index, message.last_term)
        )
        if is_granted and self._is_restarting(now_ms):
            # The sender probably stands for election now.
            pause_ms = 2.0 * self.options.restart_pre_vote_ms
            self._election_deadline_ms = max(
                self._election_deadline_ms, now_ms + pause_ms
            )
        reply = PreVoteReply(
            term=message.term,
            incarnation=self.incarnation,
            current_term=self.term,
            is_granted=is_granted,
        )
        self._send_durable(sender.address, reply)

    def _on_pre_vote_reply(
        self, now_ms: float, sender: Peer, message: PreVoteReply
    ) -> None:
        if message.current_term > self.term:
            self._become_follower(now_ms, message.current_term, None)
            return
        is_expected = (
            self.role is ConsensusRole.PRE_CANDIDATE and message.term == self.term + 1
        )
        if not (is_expected and message.is_granted):
            return
        if self.member(sender.node, message.incarnation) is None:
            return
        self._votes.add(sender.node)
        if self._has_quorum(self._votes):
            self._start_election(now_ms, is_transfer=False)

    def _is_for_this_disk(self, message: PreVoteRequest | VoteRequest) -> bool:
        """Return whether the request is addressed to the disk of this node.

        The node's own member list doesn't matter: a new voter may still lack the entry
        that adds it, and its vote may be needed.
        """
        return message.voter_incarnation == self.incarnation

    def _may_vote(self, now_ms: float, message: VoteRequest) -> bool:
        """Return whether a vote respects the lease; if not, its term is ignored."""
        if not self._is_for_this_disk(message):
            return False
        return message.is_transfer or not self._has_live_leader(now_ms)

    def _on_vote_request(
        self, now_ms: float, sender: Peer, message: VoteRequest
    ) -> None:
        if message.term > self.term:
            if not self._may_vote(now_ms, message):
                return
            self._become_follower(now_ms, message.term, None)
        candidate = f"{sender.node}/{message.incarnation}"
        is_granted = (
            self._is_for_this_disk(message)
            and message.term == self.term
            and self.vote.voted_for in ("", candidate)
            and self._is_up_to_date(message.last_index, message.last_term)
        )
        if is_granted and self.vote.voted_for == "":
            self._set_vote(self.term, candidate)
            self._reset_election(now_ms)
        reply = VoteReply(
            term=self.term, incarnation=self.incarnation, is_granted=is_granted
        )
        self._send_durable(sender.address, reply)

    def _on_vote_reply(self, now_ms: float, sender: Peer, message: VoteReply) -> None:
        if message.term > self.term:
            self._become_follower(now_ms, message.term, None)
            return
        if self.role is not ConsensusRole.CANDIDATE or message.term != self.term:
            return
        if not message.is_granted:
            return
        if self.member(sender.node, message.incarnation) is None:
            return
        self._votes.add(sender.node)
        self._count_votes(now_ms)

    def _count_votes(self, now_ms: float) -> None:
        """Become leader with a majority; the own vote counts once it is durable."""
        own = {self.node} if self._outbox.is_durable else set()
        if self._has_quorum(self._votes | own):
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: float) -> None:
        self.role = ConsensusRole.LEADER
        self.leader = self.node
        self._leader_since_ms = now_ms
        self._followers.clear()
        self._emit(EventNumber.LEADER_ELECTED, self.node, str(self.term))
        # The first entry of the term commits the entries of older terms. It carries the
        # members because followers that joined later have no other source for them.
        self.first_index_of_term = self.log.last_index + 1
        payload = msgspec.msgpack.encode(self.members)
        self._append_entry(now_ms, EntryKind.MEMBERS, payload)

    # Leading

    def _append_entry(self, now_ms: float, kind: EntryKind, payload: bytes) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append([entry])
        self._persist_entries([entry])
        if kind is EntryKind.MEMBERS:
            self._followers.update(now_ms, self.members, self.log.last_index)
        for member in self._other_members():
            self._replication.send_pending(self._lead(now_ms), member)
        return entry.index

    def _lead(self, now_ms: float) -> Lead:
        return Lead(now_ms, self.term, self.commit_index)

    def _other_members(self) -> list[Member]:
        return [member for member in self.members if member.node != self.node]

    def _tick_leader(self, now_ms: float) -> None:
        contact_ms = max(
            self._followers.quorum_contact_ms(now_ms, self.voters),
            self._leader_since_ms,
        )
        if now_ms > contact_ms + self.options.election_max_ms:
            self._become_follower(now_ms, self.term, None)
            return
        if self._transfer_to is not None:
            self._continue_transfer(now_ms)
            if not self.is_leader:
                return
        if self.disk_full_reason and self._has_caught_up_voter():
            self.transfer_leadership(now_ms)
            if not self.is_leader:
                return
        self._maintain_members(now_ms)
        for member in self._other_members():
            self._replication.run_due(self._lead(now_ms), member)

    def _has_caught_up_voter(self) -> bool:
        """Return whether a voter that has room for its vote has the whole log."""
        for member in self._other_voters():
            progress = self._followers.of(member.node)
            is_complete = progress.match_index == self.log.last_index
            if is_complete and not progress.is_disk_full:
                return True
        return False

    def _continue_transfer(self, now_ms: float) -> None:
        target = self.member(self._transfer_to or "")
        if target is None or now_ms >= self._transfer_until_ms:
            self._become_follower(now_ms, self.term, None)
            return
        if self.match_index(target.node) < self.log.last_index:
            return
        # The lease ends here, because the target may be elected from now on.
        self._send(
            target.peer_address,
            TimeoutNow(term=self.term, incarnation=self.incarnation),
        )
        self._become_follower(now_ms, self.term, None)

    def _follower_of(self, sender: Peer, message: ConsensusMessage) -> Member | None:
        """Return the member that sent a reply, if the reply counts in this term."""
        if not self.is_leader or message.term != self.term:
            return None
        return self.member(sender.node, message.incarnation)

    def _on_append_reply(
        self, now_ms: float, sender: Peer, message: AppendReply
    ) -> None:
        if message.term > self.term:
            self._become_follower(now_ms, message.term, None)
            return
        member = self._follower_of(sender, message)
        if member is None:
            return
        lead = self._lead(now_ms)
        has_advanced = self._replication.on_append_reply(lead, member, message)
        if has_advanced and not self._advance_commit(now_ms):
            self._notify_commit(now_ms, member)
        if not self.is_leader:
            return
        self._replication.send_pending(self._lead(now_ms), member)
        if self._transfer_to is not None:
            self._continue_transfer(now_ms)

    def _on_snapshot_reply(
        self, now_ms: float, sender: Peer, message: SnapshotReply
    ) -> None:
        member = self._follower_of(sender, message)
        if member is not None:
            lead = self._lead(now_ms)
            self._replication.on_snapshot_reply(lead, member, message)

    def _advance_commit(self, now_ms: float) -> bool:
        """Commit what a majority has; return whether there was more of it."""
        replicated_index = self._followers.majority_match_index(
            self.voters, self._outbox.durable_index
        )
        index = min(replicated_index, self.log.last_index)
        if index <= self.commit_index or not self._may_commit(index):
            return False
        self.commit_index = index
        self._after_commit(now_ms)
        return True

    def _notify_commit(self, now_ms: float, member: Member) -> None:
        """Send the commit index to a follower that has the entry it names."""
        if self._followers.match_index(member.node) >= self.commit_index:
            self._replication.send_heartbeat(self._lead(now_ms), member)

    def _may_commit(self, index: int) -> bool:
        """Return whether an entry is of the current term.

        Entries of older terms are committed only together with one of this term.
        """
        return self.log.term_at(index) == self.term

    def _after_commit(self, now_ms: float) -> None:
        """Notify followers at once, and step down if this node was removed."""
        for member in self._other_members():
            self._notify_commit(now_ms, member)
        is_change_committed = self.commit_index >= self.log.members_index
        if is_change_committed and self.member(self.node) is None:
            self._become_follower(now_ms, self.term, None)

    # Following

    def _accept_leader(self, now_ms: float, sender: Peer, term: int) -> None:
        if term > self.term or self.role is not ConsensusRole.FOLLOWER:
            self._become_follower(now_ms, term, sender.node)
        self.leader = sender.node
        self._leader_contact_ms = now_ms
        self._reset_election(now_ms)

    def _on_append_entries(
        self, now_ms: float, sender: Peer, message: AppendEntries
    ) -> None:
        if message.term < self.term:
            self._reply_append(sender, message, False, self.log.last_index)
            return
        self._accept_leader(now_ms, sender, message.term)
        prev_index, prev_term = message.prev_index, message.prev_term
        entries = message.entries
        if prev_index < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so they match the leader's.
            n_known = self.log.snapshot.index - prev_index
            if n_known > len(entries):
                self._reply_append(sender, message, True, prev_index + len(entries))
                return
            prev_index, prev_term = self.log.snapshot.index, self.log.snapshot.term
            entries = entries[n_known:]
        if not self._log_matches(prev_index, prev_term):
            self._reply_append(sender, message, False, self._conflict_hint(prev_index))
            return
        self._store_entries(entries)
        last_index = prev_index + len(entries)
        self.commit_index = max(
            self.commit_index, min(message.commit_index, last_index)
        )
        self._reply_append(sender, message, True, last_index)

    def _log_matches(self, prev_index: int, prev_term: int) -> bool:
        return self.log.term_at(prev_index) == prev_term

    def _conflict_hint(self, prev_index: int) -> int:
        """Return the last index at which the log may match the leader's."""
        if prev_index > self.log.last_index:
            return self.log.last_index
        return max(
            self.log.first_index_of_term_at(prev_index) - 1, self.log.snapshot.index
        )

    def _store_entries(self, entries: list[Entry]) -> None:
        """Append new entries; truncate the log only where the terms differ."""
        for offset, entry in enumerate(entries):
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate_from(entry.index)
            self.log.append(entries[offset:])
            self._persist_entries(entries[offset:])
            return

    def _truncate_from(self, index: int) -> None:
        assert index > self.commit_index, "a committed entry must not be truncated"
        self.log.truncate_from(index)
        self._outbox.truncate(index - 1)

    def _reply_append(
        self,
        sender: Peer,
        message: AppendEntries | SnapshotChunk,
        is_success: bool,
        match_index: int,
    ) -> None:
        prev_index = message.prev_index if isinstance(message, AppendEntries) else -1
        reply = AppendReply(
            term=self.term,
            incarnation=self.incarnation,
            is_success=is_success,
            prev_index=prev_index,
            match_index=match_index,
            sent_ms=message.sent_ms,
            is_disk_full=bool(self.disk_full_reason),
        )
        promised_index = match_index if is_success else 0
        if self.disk_full_reason and self._outbox.is_durable_up_to(promised_index):
            # A disk that hangs stays silent, so that another node replaces this one.
            self._send(sender.address, reply)
        else:
            self._send_durable(sender.address, reply)

    def _on_snapshot_chunk(
        self, now_ms: float, sender: Peer, message: SnapshotChunk
    ) -> None:
        if message.term < self.term:
            self._reply_append(sender, message, False, self.log.last_index)
            return
        self._accept_leader(now_ms, sender, message.term)
        if message.snapshot_index <= self.commit_index:
            self._reply_append(sender, message, True, message.snapshot_index)
            return
        received_bytes = self._snapshot_sink.add(message)
        if received_bytes < message.size_bytes:
            reply = SnapshotReply(
                term=self.term,
                incarnation=self.incarnation,
                snapshot_index=message.snapshot_index,
                next_offset=received_bytes,
                sent_ms=message.sent_ms,
            )
            self._send_durable(sender.address, reply)
            return
        try:
            snapshot = self._snapshot_sink.pop()
        except SnapshotDamagedError as error:
            # Without an answer the leader pauses before it begins again.
            self._emit(EventNumber.SNAPSHOT_REFUSED, sender.node, str(error))
            return
        self._install(snapshot)
        self._reply_append(sender, message, True, message.snapshot_index)

    def _install(self, snapshot: Snapshot) -> None:
        is_reset = self.log.install(snapshot)
        # After a reset the disk holds another log until the snapshot is written.
        self._outbox.truncate(0 if is_reset else self.log.last_index)
        self.commit_index = self._ready_index = snapshot.index
        self._ready.append(snapshot)
        self._persist_snapshot(snapshot, is_reset)
        self._emit(EventNumber.SNAPSHOT_INSTALLED, self.node, str(snapshot.index))

    def _on_timeout_now(self, now_ms: float, sender: Peer, message: TimeoutNow) -> None:
        if message.term == self.term and self._is_voter and not self.is_leader:
            self._start_election(now_ms, is_transfer=True)

    def _dispatch(self, now_ms: float, sender: Peer, message: ConsensusMessage) -> None:
        match message:
            case AppendEntries():
                self._on_append_entries(now_ms, sender, message)
            case AppendReply():
                self._on_append_reply(now_ms, sender, message)
            case PreVoteRequest():
                self._on_pre_vote_request(now_ms, sender, message)
            case PreVoteReply():
                self._on_pre_vote_reply(now_ms, sender, message)
            case VoteRequest():
                self._on_vote_request(now_ms, sender, message)
            case VoteReply():
                self._on_vote_reply(now_ms, sender, message)
            case SnapshotChunk():
                self._on_snapshot_chunk(now_ms, sender, message)
            case SnapshotReply():
                self._on_snapshot_reply(now_ms, sender, message)
            case TimeoutNow():
                self._on_timeout_now(now_ms, sender, message)
            case JoinHello():
                self._on_join_hello(now_ms, sender, message)
            case JoinReply():
                self._on_join_reply(now_ms, sender, message)
            case FormationMessage():
                self._on_formation_message(now_ms, sender, message)

"""Replicated log of a control node: elections, replication and membership."""

from random import Random

import msgspec

from cardamomshunt._consensus.election_timer import ElectionTimer
from cardamomshunt._consensus.followers import (
    NEVER_MS,
    Followers,
    Progress,
)
from cardamomshunt._consensus.joining import GroupJoiner
from cardamomshunt._consensus.log import ReplicatedLog
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
from cardamomshunt._consensus.snapshot_transfer import SnapshotSink, SnapshotSource
from cardamomshunt._consensus.vote_tally import VoteTally
from cardamomshunt._control.effects import ControlEffect
from cardamomshunt._shared.events import EventNumber

# A restart of all nodes takes some pre-votes, as each refuses them after its start.
_N_PRE_VOTES_REPORTED = 8


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
        self._outbox = Outbox(self.log.last_index)
        self._ready: list[Entry | Snapshot] = []
        self._ready_index = restored.snapshot.index
        # The former process may have heard a leader until it ended, whose lease may
        # still be valid.
        contact_ms = now_ms if predecessor_ended_ms is None else predecessor_ended_ms
        self._timer = ElectionTimer(
            self.options, random, now_ms, min(contact_ms, now_ms)
        )
        self._reset_pre_vote(now_ms)
        self._joiner = GroupJoiner(
            node, self.incarnation, initial_members, now_ms, may_form=may_form
        )
        self._vote_issued_ms = NEVER_MS
        self._vote_settled_ms = NEVER_MS
        self._election_term: int | None = None
        self._pre_votes = VoteTally()
        self._votes = VoteTally()
        self._followers = Followers(node)
        self._leader_since_ms = 0.0
        self.first_index_of_term = 0
        self._transfer_to: str | None = None
        self._transfer_until_ms = 0.0
        self._snapshot_sink = SnapshotSink()
        self._snapshot_source = SnapshotSource()

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
            return self._timer.deadline_ms if self._outbox.is_vote_durable else None
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
        elif self._may_campaign(now_ms):
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
        has_pending_vote = self._has_pending_vote
        self._outbox.on_durable(sequence)
        if self._outbox.is_durable:
            self.disk_full_reason = ""
        if has_pending_vote and self._outbox.is_vote_durable:
            self._on_vote_durable(now_ms)
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
        """Stop campaigning and leading until the pending writes are durable."""
        if not self.failure and not self.disk_full_reason:
            self.disk_full_reason = reason
            self._become_follower(now_ms, self.term, None)
            self._emit(EventNumber.DISK_FULL, self.node, reason)
        return self._outbox.pop_effects()

    def propose(self, now_ms: float, payload: bytes) -> int | None:
        """Append a command; return its index, or None if proposals are refused."""
        if not self.is_leader or self._transfer_to is not None:
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
            and self.commit_index >= self.first_index_of_term
            and self.commit_index >= self.log.members_index
        )

    def transfer_leadership(self, now_ms: float) -> bool:
        """Transfer leadership to the most advanced other voter, if there is one."""
        if not self.is_leader:
            return False
        others = [member for member in self.voters if member.node != self.node]
        if not others:
            return False
        best = max(others, key=lambda member: self.match_index(member.node))
        self._transfer_to = best.node
        self._transfer_until_ms = now_ms + self.options.transfer_timeout_ms
        self._continue_transfer(now_ms)
        return True

    def compact(self, state: bytes, index: int) -> None:
        """Replace the log up to an applied index by a snapshot of the state."""
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index or self.failure:
            return
        members = self.log.members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, state=state)
        self.log.compact(snapshot, self.options.n_entries_kept)
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

    def _tick_joining(self, now_ms: float) -> None:
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
        without_leader_ms = self._timer.contact_ms + self.options.election_max_ms
        return max(self._joiner.due_ms, without_leader_ms)

    def _rejoin_if_removed(self, now_ms: float) -> None:
        """Announce this node if no leader contacts it, as it may have been removed."""
        if now_ms < self._rejoin_due_ms:
            return
        self._joiner.advance_if_due(now_ms, self.options.join_interval_ms)
        self._joiner.add_addresses(self.members)
        self._send_hello()

    def _on_join_hello(self, now_ms: float, sender: Peer, message: JoinHello) -> None:
        has_log = self.log.last_index > 0
        self._send(
            sender.address,
            JoinReply(
                term=self.term,
                incarnation=self.incarnation,
                is_formed=self.is_formed or has_log,
                members=self.members,
            ),
        )
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

    def _on_join_reply(self, now_ms: float, sender: Peer, message: JoinReply) -> None:
        if self.is_formed:
            return
        has_log = self.log.last_index > 0
        members = self._joiner.on_reply(sender, message, has_log=has_log)
        # The log that a live leader sends brings the members without a further write.
        is_led = self.leader is not None and self._timer.has_live_leader(now_ms)
        if members is not None and not is_led:
            self._form(members)

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
        n_entries_behind = self.log.last_index - progress.match_index
        is_known = member.incarnation != 0
        return MemberState(
            node=member.node,
            is_voter=member.is_voter,
            has_answered=progress.has_answered,
            is_unresponsive=self._is_unresponsive(now_ms, member, progress),
            is_stalled=progress.stalled_ms(now_ms) > self.options.stalled_after_ms,
            is_caught_up=is_known
            and n_entries_behind <= self.options.n_entries_behind_max,
        )

    def _is_unresponsive(
        self, now_ms: float, member: Member, progress: Progress
    ) -> bool:
        """Return whether a member has been silent since it could have answered.

        A new learner may take long for its first answer; a voter has a log already.
        """
        limit_ms = self.options.retire_after_ms
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

    def _reset_pre_vote(self, now_ms: float) -> None:
        if self._is_restarting(now_ms):
            self._timer.wait_for_restarts(now_ms, self._voter_rank)
        else:
            self._timer.wait_for_leader(now_ms)

    def _is_restarting(self, now_ms: float) -> bool:
        return self.log.last_index > 0 and self._timer.is_restarting(now_ms)

    @property
    def _voter_rank(self) -> int:
        return sum(member.node < self.node for member in self.voters)

    def _become_follower(
        self, now_ms: float, term: int, leader: str | None, voted_for: str = ""
    ) -> None:
        was_leader = self.is_leader
        if term > self.term:
            self._set_vote(term, voted_for)
        if self.role is ConsensusRole.PRE_CANDIDATE:
            self._reset_pre_vote(now_ms)
        elif self.role is not ConsensusRole.FOLLOWER:
            self._timer.wait_for_leader(now_ms)
        self.role = ConsensusRole.FOLLOWER
        self.leader = leader
        self._transfer_to = None
        self._election_term = None
        self._pre_votes.clear()
        self._votes.clear()
        self._followers.clear()
        if was_leader:
            self._emit(EventNumber.LEADER_STEPPED_DOWN, self.node, str(self.term))

    def _start_pre_vote(self, now_ms: float) -> None:
        self._report_missing_votes()
        if self.role is ConsensusRole.CANDIDATE:
            self._timer.on_election_failed()
        self._reset_pre_vote(now_ms)
        self.role = ConsensusRole.PRE_CANDIDATE
        self.leader = None
        self._pre_votes.restart()
        self._pre_votes.grant(self.node)
        if self._pre_votes.has_majority(self.voters):
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
        self._timer.wait_for_votes(now_ms, is_restarting=self._is_restarting(now_ms))
        self.role = ConsensusRole.CANDIDATE
        self.leader = None
        self._pre_votes.clear()
        self._votes.clear()
        # A request that names entries must not outlive them in a crash.
        send = self._send if self._outbox.is_log_durable else self._send_durable
        self._set_vote(self.term + 1, _candidate_id(self.node, self.incarnation))
        self._election_term = self.term
        self._emit(EventNumber.ELECTION_STARTED, self.node, f"term {self.term}")
        for member in self._other_voters():
            request = VoteRequest(
                term=self.term,
                incarnation=self.incarnation,
                voter_incarnation=member.incarnation,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                is_transfer=is_transfer,
            )
            send(member.peer_address, request)
        self._count_votes(now_ms)

    def _other_voters(self) -> list[Member]:
        return [member for member in self.voters if member.node != self.node]

    def _report_missing_votes(self) -> None:
        """Report an election without a majority, and fewer and fewer such pre-votes."""
        if self.role is ConsensusRole.CANDIDATE:
            answers = self._votes.describe(self.voters)
            detail = f"term {self.term}: {answers}"
            self._emit(EventNumber.ELECTION_FAILED, self.node, detail)
        elif self._pre_votes.n_rounds >= _N_PRE_VOTES_REPORTED:
            n_rounds = self._pre_votes.n_rounds
            if n_rounds.bit_count() == 1:
                detail = f"{n_rounds} times: {self._pre_votes.describe(self.voters)}"
                self._emit(EventNumber.PRE_VOTE_FAILED, self.node, detail)

    def _has_live_leader(self, now_ms: float) -> bool:
        return self.is_leader or self._timer.has_live_leader(now_ms)

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _on_pre_vote_request(
        self, now_ms: float, sender: Peer, message: PreVoteRequest
    ) -> None:
        is_granted = (
            self._is_for_this_disk(message)
            and message.term > self.term
            and not self._has_live_leader(now_ms)
            and not self._is_vote_recent(now_ms)
            and self._is_up_to_date(message.last_index, message.last_term)
        )
        if is_granted and self._is_restarting(now_ms):
            self._timer.postpone_pre_vote(now_ms)
        reply = PreVoteReply(
            term=message.term,
            incarnation=self.incarnation,
            current_term=self.term,
            is_granted=is_granted,
        )
        self._send(sender.address, reply)

    def _on_pre_vote_reply(
        self, now_ms: float, sender: Peer, message: PreVoteReply
    ) -> None:
        if message.current_term > self.term:
            self._become_follower(now_ms, message.current_term, None)
            return
        is_expected = (
            self.role is ConsensusRole.PRE_CANDIDATE and message.term == self.term + 1
        )
        if not is_expected or self.member(sender.node, message.incarnation) is None:
            return
        if not message.is_granted:
            self._pre_votes.refuse(sender.node)
            return
        self._pre_votes.grant(sender.node)
        if self._pre_votes.has_majority(self.voters):
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
        former_vote = self.vote
        candidate = _candidate_id(sender.node, message.incarnation)
        is_eligible = self._is_for_this_disk(message) and self._is_up_to_date(
            message.last_index, message.last_term
        )
        if message.term > self.term:
            if not self._may_vote(now_ms, message):
                return
            voted_for = candidate if is_eligible else ""
            self._become_follower(now_ms, message.term, None, voted_for)
        elif message.term == self.term and is_eligible and not self.vote.voted_for:
            self._set_vote(self.term, candidate)
        is_granted = (
            is_eligible
            and message.term == self.term
            and self.vote.voted_for == candidate
        )
        reply = VoteReply(
            term=self.term, incarnation=self.incarnation, is_granted=is_granted
        )
        if not is_granted:
            self._send(sender.address, reply)
            return
        if self.vote != former_vote:
            self._vote_issued_ms = now_ms
        self._timer.wait_for_leader(now_ms)
        self._send_durable(sender.address, reply)

    def _on_vote_reply(self, now_ms: float, sender: Peer, message: VoteReply) -> None:
        if message.term > self.term:
            self._become_follower(now_ms, message.term, None)
            return
        if not self._is_candidate or message.term != self.term:
            return
        if self.member(sender.node, message.incarnation) is None:
            return
        if not message.is_granted:
            self._votes.refuse(sender.node)
            return
        self._votes.grant(sender.node)
        self._count_votes(now_ms)

    @property
    def _is_candidate(self) -> bool:
        """Return whether this node may still win the election of its term.

        While it asks for pre-votes of the next term, late votes of this one count.
        """
        return self._election_term == self.term

    @property
    def _has_pending_vote(self) -> bool:
        return self.vote.voted_for != "" and not self._outbox.is_vote_durable

    def _may_campaign(self, now_ms: float) -> bool:
        """Return whether a pre-vote is due, and its election could be written at once.

        A new term would also make a vote useless that is still being written.
        """
        return (
            self._is_voter
            and self._outbox.is_vote_durable
            and now_ms >= self._timer.deadline_ms
        )

    def _is_vote_recent(self, now_ms: float) -> bool:
        """Return whether the candidate that this node voted for may be about to win."""
        if self.role is ConsensusRole.CANDIDATE:
            return self._has_pending_vote or now_ms < self._timer.deadline_ms
        return self._has_pending_vote or now_ms < self._vote_settled_ms

    def _on_vote_durable(self, now_ms: float) -> None:
        """Give the candidate that has this node's vote time from now on.

        Its own vote may take as long to be written as this one did.
        """
        if self.role is ConsensusRole.CANDIDATE:
            is_restarting = self._is_restarting(now_ms)
            self._timer.wait_for_votes(now_ms, is_restarting=is_restarting)
            self._count_votes(now_ms)
        elif not self.is_leader:
            write_ms = now_ms - self._vote_issued_ms
            candidate_ms = min(write_ms, self.options.election_max_ms)
            settled_ms = now_ms + max(candidate_ms, self.options.heartbeat_ms)
            self._vote_settled_ms = settled_ms
            self._timer.wait_for_leader(now_ms + candidate_ms)

    def _count_votes(self, now_ms: float) -> None:
        """Become leader with a majority, once the own vote is durable.

        Otherwise this node could lead the same term twice, before and after a crash.
        """
        if not self._outbox.is_vote_durable:
            return
        self._votes.grant(self.node)
        if self._votes.has_majority(self.voters):
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: float) -> None:
        self.role = ConsensusRole.LEADER
        self.leader = self.node
        self._election_term = None
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
            progress = self._followers.of(member.node)
            if progress.may_send(now_ms):
                self._send_append(now_ms, member, progress)
        return entry.index

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
        self._maintain_members(now_ms)
        for member in self._other_members():
            progress = self._followers.of(member.node)
            if now_ms >= progress.heartbeat_due_ms:
                self._send_append(now_ms, member, progress)

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

    def _send_append(self, now_ms: float, member: Member, progress: Progress) -> None:
        progress.heartbeat_due_ms = now_ms + self.options.heartbeat_ms
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None or prev_index < self.log.base_index:
            self._send_chunk(now_ms, member, progress)
            return
        entries = self.log.entries_from(
            progress.next_index, self.options.n_entries_per_message
        )
        if entries:
            progress.in_flight_until_ms = now_ms + self.options.heartbeat_ms
        message = AppendEntries(
            term=self.term,
            incarnation=self.incarnation,
            prev_index=prev_index,
            prev_term=prev_term,
            commit_index=self.commit_index,
            sent_ms=now_ms,
            entries=entries,
        )
        self._send(member.peer_address, message)

    def _send_chunk(self, now_ms: float, member: Member, progress: Progress) -> None:
        snapshot = self.log.snapshot
        data = self._snapshot_source.encode(snapshot)
        offset = min(progress.snapshot_offset, len(data))
        chunk = SnapshotChunk(
            term=self.term,
            incarnation=self.incarnation,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            offset=offset,
            size_bytes=len(data),
            data=data[offset : offset + self.options.chunk_size_bytes],
            sent_ms=now_ms,
        )
        progress.in_flight_until_ms = now_ms + self.options.heartbeat_ms
        self._send(member.peer_address, chunk)

    def _progress_of(
        self, sender: Peer, message: ConsensusMessage
    ) -> tuple[Member, Progress] | None:
        """Return the member and its progress if its reply counts in this term."""
        if not self.is_leader or message.term != self.term:
            return None
        member = self.member(sender.node, message.incarnation)
        progress = self._followers.get(sender.node)
        return (member, progress) if member and progress else None

    def _on_append_reply(
        self, now_ms: float, sender: Peer, message: AppendReply
    ) -> None:
        if message.term > self.term:
            self._become_follower(now_ms, message.term, None)
            return
        found = self._progress_of(sender, message)
        if found is None:
            return
        member, progress = found
        progress.on_contact(message.sent_ms, is_complete=message.is_complete)
        if message.is_success:
            has_advanced = message.match_index > progress.match_index
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if has_advanced:
                progress.in_flight_until_ms = NEVER_MS
                self._advance_commit(now_ms)
        elif message.prev_index == progress.next_index - 1:
            progress.next_index = max(
                progress.match_index + 1,
                min(message.match_index + 1, message.prev_index),
            )
            progress.in_flight_until_ms = NEVER_MS
        if not self.is_leader:
            return
        has_more = progress.next_index <= self.log.last_index
        if has_more and progress.may_send(now_ms):
            self._send_append(now_ms, member, progress)
        if self._transfer_to is not None:
            self._continue_transfer(now_ms)

    def _on_snapshot_reply(
        self, now_ms: float, sender: Peer, message: SnapshotReply
    ) -> None:
        found = self._progress_of(sender, message)
        if found is None:
            return
        member, progress = found
        progress.on_contact(message.sent_ms, is_complete=True)
        if message.snapshot_index != self.log.snapshot.index:
            progress.snapshot_offset = 0
            return
        has_moved = message.next_offset != progress.snapshot_offset
        progress.snapshot_offset = message.next_offset
        if has_moved and progress.next_index <= self.log.base_index:
            self._send_chunk(now_ms, member, progress)

    def _advance_commit(self, now_ms: float) -> None:
        replicated_index = self._followers.majority_match_index(
            self.voters, self._outbox.durable_index
        )
        index = min(replicated_index, self.log.last_index)
        if index <= self.commit_index or not self._may_commit(index):
            return
        self.commit_index = index
        self._after_commit(now_ms)

    def _may_commit(self, index: int) -> bool:
        """Return whether an entry is of the current term.

        Entries of older terms are committed only together with one of this term.
        """
        return self.log.term_at(index) == self.term

    def _after_commit(self, now_ms: float) -> None:
        """Notify followers at once, and continue a change of the members.

        The voters are fewer between two steps of a change. This node steps down if it
        was removed.
        """
        for member in self._other_members():
            progress = self._followers.of(member.node)
            if progress.may_send(now_ms):
                self._send_append(now_ms, member, progress)
        if self.commit_index < self.log.members_index:
            return
        if self.member(self.node) is None:
            self._become_follower(now_ms, self.term, None)
            return
        self._maintain_members(now_ms)

    # Following

    def _accept_leader(self, now_ms: float, sender: Peer, term: int) -> None:
        if term > self.term or self.role is not ConsensusRole.FOLLOWER:
            self._become_follower(now_ms, term, sender.node)
        self.leader = sender.node
        self._timer.on_leader_contact(now_ms)

    def _on_append_entries(
        self, now_ms: float, sender: Peer, message: AppendEntries
    ) -> None:
        if message.term < self.term:
            self._refuse_append(sender, message, self.log.last_index)
            return
        self._accept_leader(now_ms, sender, message.term)
        prev_index, prev_term = message.prev_index, message.prev_term
        entries = message.entries
        if prev_index < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so they match the leader's.
            n_known = self.log.snapshot.index - prev_index
            if n_known > len(entries):
                self._accept_append(sender, message, prev_index + len(entries))
                return
            prev_index, prev_term = self.log.snapshot.index, self.log.snapshot.term
            entries = entries[n_known:]
        if not self._log_matches(prev_index, prev_term):
            self._refuse_append(sender, message, self._conflict_hint(prev_index))
            return
        self._store_entries(entries)
        last_index = prev_index + len(entries)
        self.commit_index = max(
            self.commit_index, min(message.commit_index, last_index)
        )
        self._accept_append(sender, message, last_index)

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

    def _refuse_append(
        self,
        sender: Peer,
        message: AppendEntries | SnapshotChunk,
        match_index: int,
    ) -> None:
        reply = self._append_reply(message, match_index, is_success=False)
        self._send(sender.address, reply)

    def _accept_append(
        self,
        sender: Peer,
        message: AppendEntries | SnapshotChunk,
        match_index: int,
    ) -> None:
        """Confirm the contact at once, and the entries once they are durable.

        A leader that learned of the contact from the durable reply alone would take
        followers with slow disks for silent, and lose its lease.
        """
        if not self._outbox.is_durable and not self.disk_full_reason:
            durable_index = min(match_index, self._outbox.durable_index)
            contact = self._append_reply(
                message, durable_index, is_success=True, is_complete=False
            )
            self._send(sender.address, contact)
        reply = self._append_reply(message, match_index, is_success=True)
        self._send_durable(sender.address, reply)

    def _append_reply(
        self,
        message: AppendEntries | SnapshotChunk,
        match_index: int,
        *,
        is_success: bool,
        is_complete: bool = True,
    ) -> AppendReply:
        prev_index = message.prev_index if isinstance(message, AppendEntries) else -1
        return AppendReply(
            term=self.term,
            incarnation=self.incarnation,
            is_success=is_success,
            prev_index=prev_index,
            match_index=match_index,
            sent_ms=message.sent_ms,
            is_complete=is_complete,
        )

    def _on_snapshot_chunk(
        self, now_ms: float, sender: Peer, message: SnapshotChunk
    ) -> None:
        if message.term < self.term:
            self._refuse_append(sender, message, self.log.last_index)
            return
        self._accept_leader(now_ms, sender, message.term)
        if message.snapshot_index <= self.commit_index:
            self._accept_append(sender, message, message.snapshot_index)
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
            self._send(sender.address, reply)
            return
        self._install(self._snapshot_sink.pop())
        self._accept_append(sender, message, message.snapshot_index)

    def _install(self, snapshot: Snapshot) -> None:
        is_reset = self.log.install(snapshot)
        # On disk, entries that were not committed may differ from the snapshot.
        self._outbox.truncate(self.commit_index if is_reset else self.log.last_index)
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


def _candidate_id(node: str, incarnation: int) -> str:
    """Return what a vote names: a node with the incarnation of its disk."""
    return f"{node}/{incarnation}"

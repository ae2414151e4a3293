"""Acceptor of the agreement on the first members of a group."""

import msgspec

from cardamomshunt._consensus.formation_messages import (
    FormationAccept,
    FormationAccepted,
    FormationPrepare,
    FormationPromise,
    FormationRecord,
)


class FormationAcceptor:
    """Promise and accept proposals as in single-decree Paxos.

    A reply may be sent only once `record` is durable. A disk must not be an acceptor if
    an earlier disk of its node may have been one.
    """

    def __init__(self, incarnation: int, record: FormationRecord) -> None:
        self.record = record
        self._incarnation = incarnation

    def on_prepare(self, message: FormationPrepare) -> FormationPromise:
        """Promise a ballot unless a higher one was promised; return the reply."""
        if message.ballot > self.record.promised:
            self.record = msgspec.structs.replace(self.record, promised=message.ballot)
        return FormationPromise(
            term=0,
            incarnation=self._incarnation,
            ballot=message.ballot,
            promised=self.record.promised,
            accepted=self.record.accepted,
            members=self.record.members,
        )

    def on_accept(self, message: FormationAccept) -> FormationAccepted:
        """Accept a proposal unless a higher ballot was promised; return the reply."""
        if message.ballot >= self.record.promised:
            self.record = FormationRecord(
                promised=message.ballot,
                accepted=message.ballot,
                members=message.members,
            )
        return FormationAccepted(
            term=0,
            incarnation=self._incarnation,
            ballot=message.ballot,
            promised=self.record.promised,
        )

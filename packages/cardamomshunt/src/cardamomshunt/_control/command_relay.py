"""Relay of commands to backend servers that the control leader cannot reach."""

from dataclasses import dataclass, field
from typing import TypeAlias

from cardamomshunt._control.effects import (
    CommandInstance,
    InstanceCommandKind,
    InstanceReply,
)
from cardamomshunt._shared.messages import InstanceAddress, Message
from cardamomshunt._shared.position import LogPosition

_N_REQUESTERS_MAX = 1_000

_Key: TypeAlias = tuple[str, str, InstanceCommandKind, int]


class RelayedCommand(Message, kw_only=True):
    """Ask another control node to run a command.

    `address` is the address of the instance as the leader sees it.
    """

    database: str
    instance: str
    address: InstanceAddress
    kind: InstanceCommandKind
    command_term: int
    timeout_ms: float


class RelayedReply(Message, kw_only=True):
    """Return the answer to a relayed command to the leader."""

    database: str
    instance: str
    kind: InstanceCommandKind
    command_term: int
    is_accepted: bool
    term: int
    log_position: LogPosition

    def as_reply(self) -> InstanceReply:
        """Return the answer in the form of a direct one."""
        return InstanceReply(
            database=self.database,
            instance=self.instance,
            kind=self.kind,
            command_term=self.command_term,
            is_answered=True,
            is_accepted=self.is_accepted,
            term=self.term,
            log_position=self.log_position,
        )


@dataclass(slots=True)
class CommandRelay:
    """Relay repeated commands to other control nodes, and answers to requesters.

    Several nodes may run a command, more than once and late. This is safe, as servers
    refuse older terms and accept the current one again.
    """

    _n_sent: dict[_Key, int] = field(default_factory=dict)
    _requester_addresses: dict[_Key, str] = field(default_factory=dict)

    def prepare_command(self, command: CommandInstance) -> RelayedCommand | None:
        """Record a command; return a message for other nodes from the second try on."""
        key = (command.database, command.instance, command.kind, command.term)
        self._n_sent[key] = self._n_sent.get(key, 0) + 1
        if self._n_sent[key] < 2:
            return None
        return RelayedCommand(
            database=command.database,
            instance=command.instance,
            address=command.address,
            kind=command.kind,
            command_term=command.term,
            timeout_ms=command.timeout_ms,
        )

    def remove_database(self, database: str) -> None:
        """Remove the recorded commands of a database whose step is over."""
        self._n_sent = {
            key: count for key, count in self._n_sent.items() if key[0] != database
        }

    def accept(
        self,
        sender_address: str,
        message: RelayedCommand,
        local_address: InstanceAddress | None,
    ) -> CommandInstance:
        """Record the requester and return the command to run.

        `local_address` is the address of the instance as this node sees it, if any.
        """
        key = (message.database, message.instance, message.kind, message.command_term)
        while len(self._requester_addresses) >= _N_REQUESTERS_MAX:
            del self._requester_addresses[next(iter(self._requester_addresses))]
        self._requester_addresses[key] = sender_address
        return CommandInstance(
            database=message.database,
            instance=message.instance,
            address=local_address or message.address,
            kind=message.kind,
            term=message.command_term,
            timeout_ms=message.timeout_ms,
        )

    def prepare_reply(self, reply: InstanceReply) -> tuple[str, RelayedReply] | None:
        """Return the requester's address and the reply to it, or None without either."""
        key = (reply.database, reply.instance, reply.kind, reply.command_term)
        address = self._requester_addresses.pop(key, None)
        if address is None or not reply.is_answered:
            return None
        return address, RelayedReply(
            database=reply.database,
            instance=reply.instance,
            kind=reply.kind,
            command_term=reply.command_term,
            is_accepted=reply.is_accepted,
            term=reply.term,
            log_position=reply.log_position,
        )

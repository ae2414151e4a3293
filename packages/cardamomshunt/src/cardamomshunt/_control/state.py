"""Replicated state of the control nodes, and the commands that change it."""

from typing import TypeAlias

import msgspec

from cardamomshunt._configuration.document import ClusterConfiguration
from cardamomshunt._configuration.patches import (
    PatchInvalidError,
    apply_changes,
    difference,
)
from cardamomshunt._control.operator_messages import (
    PatchOutcome,
    PatchReply,
    PatchRequest,
    VersionEntry,
)
from cardamomshunt._shared.messages import (
    Change,
    DatabaseTopology,
    FailoverStep,
    InstanceAddress,
    TopologyUpdate,
)

N_PATCH_IDS_MAX = 10_000
N_VERSIONS_MAX = 2_000


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Backend server of a group.

    `incarnation` is the newest incarnation known to have every entry that the server
    acknowledged. In any other incarnation it does not count for a majority by itself.
    """

    zone: str
    address: InstanceAddress
    incarnation: int = 0


class DatabaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Term, primary and failover step of a database.

    `instances` only grows, so that the size of a majority never shrinks unnoticed.
    `target_instance` is the requested primary of a planned handover.
    """

    database: str
    term: int
    primary_instance: str | None
    step: FailoverStep
    instances: dict[str, InstanceRecord] = {}
    target_instance: str | None = None
    revision: int = 0


class SetDatabase(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replace the record of a database if its revision is one less."""

    record: DatabaseRecord


class SetDrain(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Start or end the draining of an instance or entry VM."""

    target: str
    is_draining: bool


class ApplyPatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Apply a patch to the configuration, or record why it was refused."""

    patch_id: str
    base_version: int
    changes: list[Change]
    author: str = ""


Command: TypeAlias = SetDatabase | SetDrain | ApplyPatch


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Version of the configuration, with the changes back to the previous one."""

    entry: VersionEntry
    undo: list[Change]


_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


class ControlState(msgspec.Struct, kw_only=True):
    """State that results from the committed commands."""

    configuration: ClusterConfiguration = msgspec.field(
        default_factory=ClusterConfiguration
    )
    versions: list[VersionRecord] = []
    patch_replies: dict[str, PatchReply] = {}
    databases: dict[str, DatabaseRecord] = {}
    draining: dict[str, bool] = {}
    topology_version: int = 0

    def encode(self) -> bytes:
        """Encode the state for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "ControlState":
        """Decode a snapshot; empty data gives the initial state."""
        return msgspec.msgpack.decode(data, type=cls) if data else cls()

    def apply(self, payload: bytes) -> Command:
        """Apply an encoded command and return it."""
        command: Command = _COMMAND_DECODER.decode(payload)
        match command:
            case SetDatabase():
                self._set_database(command.record)
            case SetDrain():
                self.draining[command.target] = command.is_draining
            case ApplyPatch():
                self._apply_patch(command)
        return command

    def topology(self) -> TopologyUpdate:
        """Return the topology to send to the entry VMs."""
        return TopologyUpdate(
            version=self.topology_version,
            databases=[
                DatabaseTopology(
                    database=record.database,
                    term=record.term,
                    primary_instance=record.primary_instance,
                    step=record.step,
                )
                for record in self.databases.values()
            ],
        )

    def check_patch(self, request: PatchRequest) -> PatchReply:
        """Return the reply that a patch would get, without applying it."""
        known = self.patch_replies.get(request.patch_id)
        if known is not None:
            return known
        reply, _ = self._evaluate(
            request.patch_id, request.base_version, request.changes
        )
        if reply.outcome is PatchOutcome.ACCEPTED:
            reply.outcome = PatchOutcome.DRY_RUN_OK
        return reply

    def changes_since(self, version: int) -> list[Change] | None:
        """Return the changes from a version to the newest, or None if trimmed."""
        n_newer = self.configuration.version - version
        if n_newer == 0:
            return []
        if not 0 < n_newer <= len(self.versions):
            return None
        newer = self.versions[-n_newer:]
        return [change for record in newer for change in record.entry.changes]

    def document_at(self, version: int) -> ClusterConfiguration | None:
        """Return the document of a version, or None if its history was trimmed."""
        n_newer = self.configuration.version - version
        if not 0 <= n_newer <= len(self.versions):
            return None
        document = self.configuration
        newer = self.versions[len(self.versions) - n_newer :]
        for record in reversed(newer):
            previous = record.entry.version - 1
            if record.undo:
                document = apply_changes(document, record.undo, previous)
            else:
                document = msgspec.structs.replace(document, version=previous)
        return document

    def _set_database(self, record: DatabaseRecord) -> None:
        current = self.databases.get(record.database)
        expected = current.revision + 1 if current else 1
        if record.revision != expected:
            return
        if current is not None and record.term < current.term:
            return
        self.databases[record.database] = record
        if current is None or _topology_differs(current, record):
            self.topology_version += 1

    def _apply_patch(self, command: ApplyPatch) -> None:
        if command.patch_id in self.patch_replies:
            return
        reply, changed = self._evaluate(
            command.patch_id, command.base_version, command.changes
        )
        if changed is not None:
            entry = VersionEntry(
                version=changed.version,
                patch_id=command.patch_id,
                author=command.author,
                changes=command.changes,
            )
            undo = difference(changed, self.configuration)
            self.versions.append(VersionRecord(entry=entry, undo=undo))
            self.configuration = changed
        self.patch_replies[command.patch_id] = reply
        self._trim_history()

    def _trim_history(self) -> None:
        while len(self.patch_replies) > N_PATCH_IDS_MAX:
            del self.patch_replies[next(iter(self.patch_replies))]
        if len(self.versions) > N_VERSIONS_MAX:
            del self.versions[: len(self.versions) - N_VERSIONS_MAX]

    def _evaluate(
        self, patch_id: str, base_version: int, changes: list[Change]
    ) -> tuple[PatchReply, ClusterConfiguration | None]:
        version = self.configuration.version
        if base_version != version:
            reply = PatchReply(
                patch_id=patch_id,
                outcome=PatchOutcome.STALE_BASE,
                version=version,
                changes_since=self.changes_since(base_version) or [],
            )
            return reply, None
        try:
            changed = apply_changes(self.configuration, changes, version + 1)
        except PatchInvalidError as error:
            reply = PatchReply(
                patch_id=patch_id,
                outcome=PatchOutcome.INVALID,
                version=version,
                errors=error.errors,
            )
            return reply, None
        reply = PatchReply(
            patch_id=patch_id, outcome=PatchOutcome.ACCEPTED, version=version + 1
        )
        return reply, changed


def _topology_differs(old: DatabaseRecord, new: DatabaseRecord) -> bool:
    return (old.term, old.primary_instance, old.step) != (
        new.term,
        new.primary_instance,
        new.step,
    )

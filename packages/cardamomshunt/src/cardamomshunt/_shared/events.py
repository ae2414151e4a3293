"""Numbered log events and the catalogue that explains them."""

import enum

import msgspec


class Severity(enum.Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
    CRITICAL = "critical"


class EventNumber(enum.IntEnum):
    """Numbers of the events, which are never reused.

    100s: proxy; 200s: control; 300s: configuration; 400s: backend servers; 500s:
    security and settings.
    """

    PROXY_STARTED = 101
    PROXY_DRAINING = 102
    PROXY_STOPPED = 103
    PROXY_DRAIN_TIMED_OUT = 104
    REQUEST_REFUSED = 110
    REQUEST_RETRIED = 111
    OVERLOAD_STARTED = 112
    OVERLOAD_ENDED = 113
    WRITES_HELD = 114
    WRITES_RESUMED = 115
    CONTROL_LOST = 116
    CONTROL_REGAINED = 117
    TOPOLOGY_APPLIED = 118
    CALLER_LIMIT_REACHED = 119
    TRANSACTION_LOST = 120
    RETRY_BUDGET_EMPTY = 121
    CALLER_PROTOCOL_ERROR = 122
    WRITE_OUTCOME_UNKNOWN = 123
    CONTROL_STARTED = 201
    CONTROL_STOPPED = 202
    LEADER_ELECTED = 203
    LEADER_STEPPED_DOWN = 204
    ELECTION_STARTED = 205
    QUORUM_LOST = 206
    QUORUM_REGAINED = 207
    ELECTION_FAILED = 208
    PRE_VOTE_FAILED = 209
    PRIMARY_SUSPECTED = 210
    SUSPICION_CLEARED = 211
    FENCING_STARTED = 212
    FENCING_DONE = 213
    PROMOTION_STARTED = 214
    PROMOTION_DONE = 215
    PROMOTION_FAILED = 216
    HANDOVER_STARTED = 217
    HANDOVER_DONE = 218
    HANDOVER_ABANDONED = 219
    FAILOVER_BLOCKED = 220
    MEMBER_ADDED = 221
    MEMBER_REMOVED = 222
    MEMBER_CATCHING_UP = 223
    SNAPSHOT_WRITTEN = 224
    SNAPSHOT_INSTALLED = 225
    LOG_TAIL_TRUNCATED = 226
    DISK_FAILED = 227
    DISK_FULL = 228
    LOG_CORRUPT = 229
    NODE_SILENT = 230
    NODE_RETURNED = 231
    ZONE_UNREACHABLE = 232
    ZONE_REACHABLE = 233
    DRAIN_ORDERED = 234
    PATCH_ACCEPTED = 301
    PATCH_REFUSED = 302
    PATCH_REPEATED = 303
    PATCH_IN_FORCE = 304
    PATCH_NOT_IN_FORCE = 305
    CONFIGURATION_APPLIED = 306
    CONFIGURATION_OLDER_IGNORED = 307
    CONFIGURATION_UNREADABLE = 308
    INSTANCE_ANNOUNCED = 401
    INSTANCE_SILENT = 402
    INSTANCE_RETURNED = 403
    INSTANCE_LEAVING = 404
    INSTANCE_EJECTED = 405
    INSTANCE_READMITTED = 406
    INSTANCE_ROLE_CHANGED = 407
    REPLICA_LAGGING = 408
    REPLICA_CAUGHT_UP = 409
    CONNECTION_SILENT = 410
    CONNECTION_REFUSED = 411
    ANNOUNCEMENT_REJECTED = 412
    GRANT_EXPIRED = 413
    WRITE_FENCED = 414
    INSTANCE_RESTARTED = 415
    SETTINGS_INVALID = 501
    MESSAGES_UNSIGNED = 502
    MESSAGE_REJECTED = 503
    KEYS_RELOADED = 504
    KEYS_RELOAD_FAILED = 505
    CLOCK_SKEW = 506
    MESSAGE_UNKNOWN = 507
    TASK_FAILED = 508
    EVENTS_SUPPRESSED = 509


class CatalogueEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Explanation of an event; an empty `action` means that no action is needed."""

    number: EventNumber
    severity: Severity
    what: str
    consequence: str
    action: str = ""

    @property
    def needs_action(self) -> bool:
        """Return whether an operator may need to act."""
        return bool(self.action) and not self.action.startswith("None")


_ENTRIES = (
    CatalogueEntry(
        number=EventNumber.PROXY_STARTED,
        severity=Severity.INFO,
        what="An entry VM's daemon has started.",
        consequence="It accepts callers once it has a topology and a configuration.",
    ),
    CatalogueEntry(
        number=EventNumber.PROXY_DRAINING,
        severity=Severity.INFO,
        what="An entry VM is draining after SIGTERM or a drain request.",
        consequence="It refuses new requests with reason shutting_down and finishes those in flight.",
    ),
    CatalogueEntry(
        number=EventNumber.PROXY_STOPPED,
        severity=Severity.INFO,
        what="An entry VM's daemon has stopped.",
        consequence="Its callers reconnect through the load balancer.",
    ),
    CatalogueEntry(
        number=EventNumber.PROXY_DRAIN_TIMED_OUT,
        severity=Severity.WARNING,
        what="Requests were still in progress when the drain timed out.",
        consequence="Those requests were aborted; their callers received connection_lost.",
        action="Look for long transactions if it happens at every shutdown.",
    ),
    CatalogueEntry(
        number=EventNumber.REQUEST_REFUSED,
        severity=Severity.INFO,
        what="A request was refused; the detail names the verdict and the reason.",
        consequence="The caller decides whether to retry, as the refusal states.",
    ),
    CatalogueEntry(
        number=EventNumber.REQUEST_RETRIED,
        severity=Severity.INFO,
        what="A request that was safe to repeat was retried on another connection.",
        consequence="The caller receives one answer, later than usual.",
    ),
    CatalogueEntry(
        number=EventNumber.OVERLOAD_STARTED,
        severity=Severity.WARNING,
        what="A queue is full, or requests can't be answered within their deadlines.",
        consequence="Requests are shed with reason overloaded, lookups before orders.",
        action="None for a short peak; if it lasts, add replicas or reduce the load.",
    ),
    CatalogueEntry(
        number=EventNumber.OVERLOAD_ENDED,
        severity=Severity.INFO,
        what="Requests are no longer shed.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.WRITES_HELD,
        severity=Severity.WARNING,
        what="Writes of a database wait, as it has no primary.",
        consequence="Callers wait until their deadlines and are then refused with no_primary.",
        action="None; control replaces the primary. Investigate if event 115 does not follow within 10 s.",
    ),
    CatalogueEntry(
        number=EventNumber.WRITES_RESUMED,
        severity=Severity.INFO,
        what="Writes of a database succeed again; the detail states the gap.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_LOST,
        severity=Severity.WARNING,
        what="An entry VM receives no messages from a control leader.",
        consequence="It continues with its last topology, configuration and connection floor.",
        action="Run cardamomctl status; act if a control zone stays down for more than a few minutes.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_REGAINED,
        severity=Severity.INFO,
        what="An entry VM receives messages from a control leader again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.TOPOLOGY_APPLIED,
        severity=Severity.INFO,
        what="An entry VM applied a newer topology; the detail names term, primary and step.",
        consequence="New requests go to the new primary.",
    ),
    CatalogueEntry(
        number=EventNumber.CALLER_LIMIT_REACHED,
        severity=Severity.WARNING,
        what="An entry VM has reached its maximum number of caller connections.",
        consequence="Further callers are refused with too_many_connections.",
        action="Add an entry VM, or find a caller that leaks connections.",
    ),
    CatalogueEntry(
        number=EventNumber.TRANSACTION_LOST,
        severity=Severity.INFO,
        what="The backend connection of a caller's transaction was lost.",
        consequence="The caller is notified and has to repeat the transaction.",
    ),
    CatalogueEntry(
        number=EventNumber.RETRY_BUDGET_EMPTY,
        severity=Severity.WARNING,
        what="The retry budget is exhausted.",
        consequence="Failed requests are returned to callers without a retry.",
        action="Find the failing backend server with cardamomctl status.",
    ),
    CatalogueEntry(
        number=EventNumber.CALLER_PROTOCOL_ERROR,
        severity=Severity.INFO,
        what="A caller sent data that violates the MySQL protocol.",
        consequence="Its connection was closed.",
    ),
    CatalogueEntry(
        number=EventNumber.WRITE_OUTCOME_UNKNOWN,
        severity=Severity.WARNING,
        what="It could not be determined whether a write ran.",
        consequence="Its caller received the verdict MAY_HAVE_RUN.",
        action="None; callers that set an idempotency key can query the outcome.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_STARTED,
        severity=Severity.INFO,
        what="A control node has started.",
        consequence="It votes once it has loaded its log.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_STOPPED,
        severity=Severity.INFO,
        what="A control node has stopped.",
        consequence="The others continue while they are a majority.",
    ),
    CatalogueEntry(
        number=EventNumber.LEADER_ELECTED,
        severity=Severity.INFO,
        what="A control node became leader.",
        consequence="It handles failovers and patches.",
    ),
    CatalogueEntry(
        number=EventNumber.LEADER_STEPPED_DOWN,
        severity=Severity.WARNING,
        what="A control leader gave up its lease.",
        consequence="No failover and no patch is possible until the next election, usually within a second.",
    ),
    CatalogueEntry(
        number=EventNumber.ELECTION_STARTED,
        severity=Severity.INFO,
        what="A control node receives no heartbeats from a leader and asks for votes.",
        consequence="No failover and no patch is possible until a leader is elected.",
    ),
    CatalogueEntry(
        number=EventNumber.QUORUM_LOST,
        severity=Severity.CRITICAL,
        what="The control nodes have no majority.",
        consequence="Reads and writes continue; no failover and no patch is possible.",
        action="Start the missing control nodes, or restore the network between the zones.",
    ),
    CatalogueEntry(
        number=EventNumber.QUORUM_REGAINED,
        severity=Severity.INFO,
        what="The control nodes have a majority again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.ELECTION_FAILED,
        severity=Severity.WARNING,
        what="An election ended without a majority; the line names the voters by their answer.",
        consequence="The node asks again. No failover and no patch is possible until a leader is elected.",
        action="If it repeats: start silent voters that do not run, and look for slow writes at those that do.",
    ),
    CatalogueEntry(
        number=EventNumber.PRE_VOTE_FAILED,
        severity=Severity.WARNING,
        what="A node asked 8, 16, 32, ... times whether it could win an election, and had no majority.",
        consequence="No failover and no patch is possible until a leader is elected.",
        action="Start silent voters, or restore the network between the zones. A voter that is gone for good counts until its successor has joined.",
    ),
    CatalogueEntry(
        number=EventNumber.PRIMARY_SUSPECTED,
        severity=Severity.WARNING,
        what="A majority of the entry VMs report a primary as unresponsive.",
        consequence="A failover starts.",
    ),
    CatalogueEntry(
        number=EventNumber.SUSPICION_CLEARED,
        severity=Severity.INFO,
        what="A suspected server answered again before a failover started.",
        consequence="Nothing changed.",
    ),
    CatalogueEntry(
        number=EventNumber.FENCING_STARTED,
        severity=Severity.WARNING,
        what="Control is fencing the group in a new term.",
        consequence="The old primary can't acknowledge writes any more; writes are held.",
    ),
    CatalogueEntry(
        number=EventNumber.FENCING_DONE,
        severity=Severity.INFO,
        what="A majority of the group is fenced.",
        consequence="The most advanced server is promoted next.",
    ),
    CatalogueEntry(
        number=EventNumber.PROMOTION_STARTED,
        severity=Severity.INFO,
        what="Control is promoting a server to primary.",
        consequence="Writes are held until the server confirms.",
    ),
    CatalogueEntry(
        number=EventNumber.PROMOTION_DONE,
        severity=Severity.INFO,
        what="A new primary is serving.",
        consequence="Writes succeed again.",
    ),
    CatalogueEntry(
        number=EventNumber.PROMOTION_FAILED,
        severity=Severity.ERROR,
        what="The chosen server did not become primary.",
        consequence="Control fences the group again in the next term.",
        action="None at first; if it repeats, find out why the servers of the group fail.",
    ),
    CatalogueEntry(
        number=EventNumber.HANDOVER_STARTED,
        severity=Severity.INFO,
        what="A planned handover of a primary has started.",
        consequence="Writes are held briefly.",
    ),
    CatalogueEntry(
        number=EventNumber.HANDOVER_DONE,
        severity=Severity.INFO,
        what="A planned handover has finished.",
        consequence="Writes go to the new primary.",
    ),
    CatalogueEntry(
        number=EventNumber.HANDOVER_ABANDONED,
        severity=Severity.WARNING,
        what="A planned handover was aborted; the detail states the reason.",
        consequence="The old primary continues to serve.",
        action="Repeat it when the target has caught up.",
    ),
    CatalogueEntry(
        number=EventNumber.FAILOVER_BLOCKED,
        severity=Severity.CRITICAL,
        what="A database has no primary, and no majority of its group answers.",
        consequence="Its writes are refused; reads that are provably fresh enough continue.",
        action="Start the servers of the group; control then resumes the failover.",
    ),
    CatalogueEntry(
        number=EventNumber.MEMBER_ADDED,
        severity=Severity.INFO,
        what="A control node was added to the control group.",
        consequence="It counts for majorities from now on.",
    ),
    CatalogueEntry(
        number=EventNumber.MEMBER_REMOVED,
        severity=Severity.INFO,
        what="A control node was removed from the control group.",
        consequence="It no longer counts for majorities.",
    ),
    CatalogueEntry(
        number=EventNumber.MEMBER_CATCHING_UP,
        severity=Severity.INFO,
        what="A new control node is replicating the log.",
        consequence="It does not count for majorities yet.",
    ),
    CatalogueEntry(
        number=EventNumber.SNAPSHOT_WRITTEN,
        severity=Severity.INFO,
        what="A control node wrote a snapshot and compacted its log.",
        consequence="Restarts need to replay only a short log.",
    ),
    CatalogueEntry(
        number=EventNumber.SNAPSHOT_INSTALLED,
        severity=Severity.INFO,
        what="A control node installed the leader's snapshot.",
        consequence="It has caught up.",
    ),
    CatalogueEntry(
        number=EventNumber.LOG_TAIL_TRUNCATED,
        severity=Severity.WARNING,
        what="An incomplete record at the end of the control log was removed.",
        consequence="The record had not been acknowledged, so nothing is lost.",
    ),
    CatalogueEntry(
        number=EventNumber.DISK_FAILED,
        severity=Severity.ERROR,
        what="A control node failed to write or sync its data folder.",
        consequence="It stops voting; the others continue while they are a majority.",
        action="Replace the VM or its disk: docs/OPERATIONS.md, 'Replace a control node, or lose a disk'.",
    ),
    CatalogueEntry(
        number=EventNumber.DISK_FULL,
        severity=Severity.ERROR,
        what="The data folder of a control node is full.",
        consequence="The node stops voting.",
        action="Free space in the data folder's file system; the node then resumes by itself.",
    ),
    CatalogueEntry(
        number=EventNumber.LOG_CORRUPT,
        severity=Severity.CRITICAL,
        what="A record of a control log does not match its checksum; the detail names file and offset.",
        consequence="The node does not start.",
        action="Replace it as a new member: docs/OPERATIONS.md, 'Replace a control node, or lose a disk'.",
    ),
    CatalogueEntry(
        number=EventNumber.NODE_SILENT,
        severity=Severity.WARNING,
        what="A daemon has stopped sending heartbeats.",
        consequence="Its callers use other entry VMs; patches name it as missing.",
        action="Restart or replace it in working hours.",
    ),
    CatalogueEntry(
        number=EventNumber.NODE_RETURNED,
        severity=Severity.INFO,
        what="A daemon sends heartbeats again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.ZONE_UNREACHABLE,
        severity=Severity.ERROR,
        what="No daemon of an availability zone answers.",
        consequence="The zone serves what it can; the others go on without it.",
        action="See the platform's status; the zone can be restored only there.",
    ),
    CatalogueEntry(
        number=EventNumber.ZONE_REACHABLE,
        severity=Severity.INFO,
        what="An availability zone answers again.",
        consequence="It catches up by itself.",
    ),
    CatalogueEntry(
        number=EventNumber.DRAIN_ORDERED,
        severity=Severity.INFO,
        what="An operator ordered a target to be drained or resumed.",
        consequence="The target receives no new work or, after a resume, receives it again.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_ACCEPTED,
        severity=Severity.INFO,
        what="A configuration patch became the next version.",
        consequence="It is being distributed.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_REFUSED,
        severity=Severity.INFO,
        what="A configuration patch was refused; the detail states the reason.",
        consequence="The configuration did not change.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_REPEATED,
        severity=Severity.INFO,
        what="A patch with a known id was received again.",
        consequence="The original reply was returned again.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_IN_FORCE,
        severity=Severity.INFO,
        what="A configuration version is in force on every live node.",
        consequence="None.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_NOT_IN_FORCE,
        severity=Severity.WARNING,
        what="A configuration version was not in force on all nodes in time; the detail names the nodes.",
        consequence="Those nodes continue with their last version.",
        action="Check whether those nodes are partitioned; they catch up by themselves.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_APPLIED,
        severity=Severity.INFO,
        what="A node applied a newer configuration version.",
        consequence="None.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_OLDER_IGNORED,
        severity=Severity.INFO,
        what="A node received an older configuration version.",
        consequence="It was ignored.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_UNREADABLE,
        severity=Severity.ERROR,
        what="A node can't decode a stored or received configuration.",
        consequence="It continues with its last version, or with defaults if it has none.",
        action="Run cardamomctl config show; restart the node if it stays behind.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_ANNOUNCED,
        severity=Severity.INFO,
        what="A backend server announced itself for the first time.",
        consequence="It receives connections and work.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_SILENT,
        severity=Severity.WARNING,
        what="A backend server stopped announcing itself.",
        consequence="It receives no new work from this entry VM.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_RETURNED,
        severity=Severity.INFO,
        what="An unresponsive backend server announces itself again.",
        consequence="It receives work again.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_LEAVING,
        severity=Severity.INFO,
        what="A backend server is shutting down or being drained.",
        consequence="It receives no new work after at most 2 s.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_EJECTED,
        severity=Severity.WARNING,
        what="A backend server fails more often than the others.",
        consequence="It receives no reads for a limited time.",
        action="None; if it repeats, inspect that server during working hours.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_READMITTED,
        severity=Severity.INFO,
        what="An ejected backend server receives work again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_ROLE_CHANGED,
        severity=Severity.INFO,
        what="The role or term of a backend server changed.",
        consequence="Requests are routed accordingly.",
    ),
    CatalogueEntry(
        number=EventNumber.REPLICA_LAGGING,
        severity=Severity.WARNING,
        what="A replica lags by more than the age that reads accept.",
        consequence="Reads go to other servers.",
        action="If it persists, check the load of that replica.",
    ),
    CatalogueEntry(
        number=EventNumber.REPLICA_CAUGHT_UP,
        severity=Severity.INFO,
        what="A lagging replica is fresh enough again.",
        consequence="It serves reads again.",
    ),
    CatalogueEntry(
        number=EventNumber.CONNECTION_SILENT,
        severity=Severity.WARNING,
        what="An open backend connection stopped answering.",
        consequence="It was closed and replaced; a request on it ended with the verdict that applies.",
    ),
    CatalogueEntry(
        number=EventNumber.CONNECTION_REFUSED,
        severity=Severity.WARNING,
        what="A backend server refused a connection.",
        consequence="Requests go to other servers.",
        action="If a server keeps refusing connections, check that it is running.",
    ),
    CatalogueEntry(
        number=EventNumber.ANNOUNCEMENT_REJECTED,
        severity=Severity.WARNING,
        what="An announcement was malformed or contradictory.",
        consequence="It was ignored.",
        action="Correct the backend server's settings; the detail names the field.",
    ),
    CatalogueEntry(
        number=EventNumber.GRANT_EXPIRED,
        severity=Severity.INFO,
        what="A connection lease ended without renewal.",
        consequence="The entry VM is limited to its connection floor again.",
    ),
    CatalogueEntry(
        number=EventNumber.WRITE_FENCED,
        severity=Severity.INFO,
        what="A backend server refused a write of an older term.",
        consequence="The write did not run there; it is retried on the new primary.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_RESTARTED,
        severity=Severity.WARNING,
        what="A backend server restarted with a new incarnation.",
        consequence="Its connections and positions are established again.",
    ),
    CatalogueEntry(
        number=EventNumber.SETTINGS_INVALID,
        severity=Severity.ERROR,
        what="A settings file is not valid.",
        consequence="The daemon does not start.",
        action="Run cardamomctl check FILE, which reports each invalid line.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGES_UNSIGNED,
        severity=Severity.WARNING,
        what="The daemon runs without keys.",
        consequence="Any host on the network can send it messages.",
        action="Configure keys before production use: docs/security.md.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGE_REJECTED,
        severity=Severity.WARNING,
        what="A message was malformed or not signed with an accepted key.",
        consequence="It was discarded.",
        action="During a key rotation, complete the rotation; otherwise identify the sender.",
    ),
    CatalogueEntry(
        number=EventNumber.KEYS_RELOADED,
        severity=Severity.INFO,
        what="The key files were reloaded.",
        consequence="The first key signs messages; all keys are accepted.",
    ),
    CatalogueEntry(
        number=EventNumber.KEYS_RELOAD_FAILED,
        severity=Severity.ERROR,
        what="A key file can't be read.",
        consequence="The daemon continues with its last keys.",
        action="Correct the file named in the detail, and send SIGHUP again.",
    ),
    CatalogueEntry(
        number=EventNumber.CLOCK_SKEW,
        severity=Severity.WARNING,
        what="A peer's clock is further ahead than the accepted skew.",
        consequence="Times of its events may be out of order in the timeline; decisions don't depend on them.",
        action="Correct the clock of the VM named in the detail.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGE_UNKNOWN,
        severity=Severity.INFO,
        what="A peer sent a message type that this version does not know.",
        consequence="It was discarded; this is expected during an upgrade.",
    ),
    CatalogueEntry(
        number=EventNumber.TASK_FAILED,
        severity=Severity.ERROR,
        what="An internal task failed unexpectedly.",
        consequence="It was restarted, or the daemon stopped; the detail states which.",
        action="Report it with the log lines around it.",
    ),
    CatalogueEntry(
        number=EventNumber.EVENTS_SUPPRESSED,
        severity=Severity.INFO,
        what="Repetitions of an event were not logged; the detail states their number.",
        consequence="Only the log is affected; metrics count every event.",
    ),
)

CATALOGUE: dict[EventNumber, CatalogueEntry] = {
    entry.number: entry for entry in _ENTRIES
}


def entry_for(number: int) -> CatalogueEntry | None:
    """Return the catalogue entry, or None if this version does not know the number.

    >>> entry_for(101).severity
    <Severity.INFO: 'info'>
    >>> entry_for(1) is None
    True
    """
    try:
        return CATALOGUE.get(EventNumber(number))
    except ValueError:
        return None

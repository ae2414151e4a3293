"""Numbers of the log events, with a catalogue entry for each."""

import enum

import msgspec


class Severity(enum.Enum):
    """Name how much attention an event needs."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
    CRITICAL = "critical"


class EventNumber(enum.IntEnum):
    """Number the events.

    100s: proxy; 200s: control; 300s: configuration; 400s: backend servers; 500s:
    security and settings. Numbers are never reused.
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
    """Explain an event; an empty `action` says that nobody needs to act."""

    number: EventNumber
    severity: Severity
    what: str
    consequence: str
    action: str = ""

    @property
    def needs_action(self) -> bool:
        """Tell whether somebody may need to act."""
        return bool(self.action) and not self.action.startswith("None")


_ENTRIES = (
    CatalogueEntry(
        number=EventNumber.PROXY_STARTED,
        severity=Severity.INFO,
        what="An entry VM's daemon has started.",
        consequence="It takes callers as soon as it knows a topology and a configuration.",
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
        what="Requests were still open when the drain time ended.",
        consequence="Those requests were cut; callers saw connection_lost.",
        action="Look for long transactions if it happens at every stop.",
    ),
    CatalogueEntry(
        number=EventNumber.REQUEST_REFUSED,
        severity=Severity.INFO,
        what="A request was refused; the detail names the verdict and the reason.",
        consequence="The caller decides whether to retry, as the refusal says.",
    ),
    CatalogueEntry(
        number=EventNumber.REQUEST_RETRIED,
        severity=Severity.INFO,
        what="A request that was safe to repeat was sent to another connection.",
        consequence="The caller sees one answer, later than usual.",
    ),
    CatalogueEntry(
        number=EventNumber.OVERLOAD_STARTED,
        severity=Severity.WARNING,
        what="A queue is full or requests can't be answered in time.",
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
        consequence="Callers wait within their deadlines; later they are refused with no_primary.",
        action="None; control replaces the primary. Act if event 115 does not follow within 10 s.",
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
        what="An entry VM hears no control leader.",
        consequence="It continues with its last topology, configuration and connection floor.",
        action="Run cardamomctl status; act if a control zone is down for more than minutes.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_REGAINED,
        severity=Severity.INFO,
        what="An entry VM hears a control leader again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.TOPOLOGY_APPLIED,
        severity=Severity.INFO,
        what="An entry VM took over a newer topology; the detail names term, primary and step.",
        consequence="New requests go to the new primary.",
    ),
    CatalogueEntry(
        number=EventNumber.CALLER_LIMIT_REACHED,
        severity=Severity.WARNING,
        what="An entry VM has as many caller connections as it accepts.",
        consequence="Further callers are refused with too_many_connections.",
        action="Add an entry VM or find the caller that leaks connections.",
    ),
    CatalogueEntry(
        number=EventNumber.TRANSACTION_LOST,
        severity=Severity.INFO,
        what="A caller's transaction ended with its backend connection.",
        consequence="The caller is told and starts again.",
    ),
    CatalogueEntry(
        number=EventNumber.RETRY_BUDGET_EMPTY,
        severity=Severity.WARNING,
        what="Retries used up their budget.",
        consequence="Failures reach callers without a second attempt.",
        action="See which backend server fails: cardamomctl status.",
    ),
    CatalogueEntry(
        number=EventNumber.CALLER_PROTOCOL_ERROR,
        severity=Severity.INFO,
        what="A caller sent bytes that are not the MySQL protocol.",
        consequence="Its connection was closed.",
    ),
    CatalogueEntry(
        number=EventNumber.WRITE_OUTCOME_UNKNOWN,
        severity=Severity.WARNING,
        what="A write ended without proof that it ran or did not run.",
        consequence="Its caller was told MAY_HAVE_RUN.",
        action="None; callers with an idempotency key ask again.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_STARTED,
        severity=Severity.INFO,
        what="A control node has started.",
        consequence="It votes once it has read its log.",
    ),
    CatalogueEntry(
        number=EventNumber.CONTROL_STOPPED,
        severity=Severity.INFO,
        what="A control node has stopped.",
        consequence="The others go on while they are a majority.",
    ),
    CatalogueEntry(
        number=EventNumber.LEADER_ELECTED,
        severity=Severity.INFO,
        what="A control node became leader.",
        consequence="Failovers and patches go through it.",
    ),
    CatalogueEntry(
        number=EventNumber.LEADER_STEPPED_DOWN,
        severity=Severity.WARNING,
        what="A control leader gave up its lease.",
        consequence="No failover and no patch until the next election, usually under a second.",
    ),
    CatalogueEntry(
        number=EventNumber.ELECTION_STARTED,
        severity=Severity.INFO,
        what="A control node hears no leader and asks for votes.",
        consequence="No failover and no patch until a leader is elected.",
    ),
    CatalogueEntry(
        number=EventNumber.QUORUM_LOST,
        severity=Severity.CRITICAL,
        what="Control has no majority.",
        consequence="Reads and writes go on; no failover and no patch is possible.",
        action="Start the missing control nodes or heal the network between the zones.",
    ),
    CatalogueEntry(
        number=EventNumber.QUORUM_REGAINED,
        severity=Severity.INFO,
        what="Control has a majority again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.PRIMARY_SUSPECTED,
        severity=Severity.WARNING,
        what="A majority of the entry VMs see a primary as silent.",
        consequence="A failover starts.",
    ),
    CatalogueEntry(
        number=EventNumber.SUSPICION_CLEARED,
        severity=Severity.INFO,
        what="A suspected server answered again before anything was done.",
        consequence="Nothing changed.",
    ),
    CatalogueEntry(
        number=EventNumber.FENCING_STARTED,
        severity=Severity.WARNING,
        what="Control fences the group in a new term.",
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
        what="Control promotes a server.",
        consequence="Writes are held until it answers.",
    ),
    CatalogueEntry(
        number=EventNumber.PROMOTION_DONE,
        severity=Severity.INFO,
        what="A new primary serves.",
        consequence="Writes succeed again.",
    ),
    CatalogueEntry(
        number=EventNumber.PROMOTION_FAILED,
        severity=Severity.ERROR,
        what="The chosen server did not take over.",
        consequence="Control fences again with the next term.",
        action="None at first; if it repeats, see why the servers of the group fail.",
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
        what="A planned handover was given up; the detail says why.",
        consequence="The old primary continues.",
        action="Repeat it when the target has caught up.",
    ),
    CatalogueEntry(
        number=EventNumber.FAILOVER_BLOCKED,
        severity=Severity.CRITICAL,
        what="A database has no primary and no majority of its group answers.",
        consequence="Its writes are refused; reads that are provably fresh enough go on.",
        action="Start the servers of the group; control continues by itself.",
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
        what="A new control node fetches the log.",
        consequence="It does not count for majorities yet.",
    ),
    CatalogueEntry(
        number=EventNumber.SNAPSHOT_WRITTEN,
        severity=Severity.INFO,
        what="A control node wrote a snapshot and trimmed its log.",
        consequence="Restarts stay fast.",
    ),
    CatalogueEntry(
        number=EventNumber.SNAPSHOT_INSTALLED,
        severity=Severity.INFO,
        what="A control node took over the leader's snapshot.",
        consequence="It is caught up.",
    ),
    CatalogueEntry(
        number=EventNumber.LOG_TAIL_TRUNCATED,
        severity=Severity.WARNING,
        what="A torn record at the end of the control log was removed.",
        consequence="The record was never acknowledged; nothing is lost.",
    ),
    CatalogueEntry(
        number=EventNumber.DISK_FAILED,
        severity=Severity.ERROR,
        what="A control node can't write or sync its data folder.",
        consequence="It stops voting; the others go on while they are a majority.",
        action="Replace the VM or its disk: docs/OPERATIONS.md, 'Replace a control node, or lose a disk'.",
    ),
    CatalogueEntry(
        number=EventNumber.DISK_FULL,
        severity=Severity.ERROR,
        what="The data folder of a control node is full.",
        consequence="The node stops voting.",
        action="Free space in the data folder's file system; the node goes on by itself.",
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
        what="A daemon sends no heartbeats.",
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
        action="See the platform's status; nothing of ours can heal it.",
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
        what="An operator ordered draining or resuming of a target.",
        consequence="The target gets no new work, or gets it again.",
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
        what="A configuration patch was refused; the detail says why.",
        consequence="The configuration did not change.",
    ),
    CatalogueEntry(
        number=EventNumber.PATCH_REPEATED,
        severity=Severity.INFO,
        what="A known patch id arrived again.",
        consequence="Its first answer was returned again.",
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
        what="A version is not in force everywhere in time; the detail names the nodes.",
        consequence="Those nodes serve with their last version.",
        action="See whether those nodes are partitioned away; they catch up by themselves.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_APPLIED,
        severity=Severity.INFO,
        what="A node took over a newer configuration version.",
        consequence="None.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_OLDER_IGNORED,
        severity=Severity.INFO,
        what="A node was offered an older configuration version.",
        consequence="It keeps its own.",
    ),
    CatalogueEntry(
        number=EventNumber.CONFIGURATION_UNREADABLE,
        severity=Severity.ERROR,
        what="A node can't read a stored or received configuration.",
        consequence="It keeps its last version, or defaults if it has none.",
        action="Run cardamomctl config show; restart the node if it stays behind.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_ANNOUNCED,
        severity=Severity.INFO,
        what="A backend server announced itself for the first time.",
        consequence="It gets connections and work.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_SILENT,
        severity=Severity.WARNING,
        what="A backend server stopped announcing itself.",
        consequence="It gets no new work from this entry VM.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_RETURNED,
        severity=Severity.INFO,
        what="A silent backend server announces itself again.",
        consequence="It gets work again.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_LEAVING,
        severity=Severity.INFO,
        what="A backend server is leaving or drained.",
        consequence="It gets no new work within 2 s.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_EJECTED,
        severity=Severity.WARNING,
        what="A backend server fails more often than the others.",
        consequence="It gets no reads for a while.",
        action="None; if it repeats, look at that server in working hours.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_READMITTED,
        severity=Severity.INFO,
        what="An ejected backend server gets work again.",
        consequence="Normal service.",
    ),
    CatalogueEntry(
        number=EventNumber.INSTANCE_ROLE_CHANGED,
        severity=Severity.INFO,
        what="A backend server changed its role or term.",
        consequence="Requests follow it.",
    ),
    CatalogueEntry(
        number=EventNumber.REPLICA_LAGGING,
        severity=Severity.WARNING,
        what="A replica is older than the ages that reads accept.",
        consequence="Its reads go to other servers.",
        action="If it lasts, look at the load of that replica.",
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
        consequence="It was closed and replaced; a request on it ended with its true verdict.",
    ),
    CatalogueEntry(
        number=EventNumber.CONNECTION_REFUSED,
        severity=Severity.WARNING,
        what="A backend server refused a connection.",
        consequence="Work goes to other servers.",
        action="If one server keeps refusing, see whether it runs.",
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
        consequence="The entry VM is back at its connection floor.",
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
        what="A backend server came back with a new incarnation.",
        consequence="Its connections and positions are learnt anew.",
    ),
    CatalogueEntry(
        number=EventNumber.SETTINGS_INVALID,
        severity=Severity.ERROR,
        what="A settings file is not valid.",
        consequence="The daemon does not start.",
        action="Run cardamomctl check FILE; it names each line.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGES_UNSIGNED,
        severity=Severity.WARNING,
        what="The daemon runs without keys.",
        consequence="Anyone on the network can send it messages.",
        action="Set keys before production: docs/security.md.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGE_REJECTED,
        severity=Severity.WARNING,
        what="A message was malformed or not signed with an accepted key.",
        consequence="It was dropped.",
        action="During a key rotation, finish the rotation; otherwise find its sender.",
    ),
    CatalogueEntry(
        number=EventNumber.KEYS_RELOADED,
        severity=Severity.INFO,
        what="The key files were read again.",
        consequence="The first key signs; all are accepted.",
    ),
    CatalogueEntry(
        number=EventNumber.KEYS_RELOAD_FAILED,
        severity=Severity.ERROR,
        what="A key file can't be read.",
        consequence="The daemon continues with its last keys.",
        action="Correct the file that the detail names and send SIGHUP again.",
    ),
    CatalogueEntry(
        number=EventNumber.CLOCK_SKEW,
        severity=Severity.WARNING,
        what="A peer's clock is further ahead than the accepted skew.",
        consequence="Times of its events may be out of order in the timeline; decisions don't depend on them.",
        action="Correct the clock of the VM that the detail names.",
    ),
    CatalogueEntry(
        number=EventNumber.MESSAGE_UNKNOWN,
        severity=Severity.INFO,
        what="A peer sent a message type that this version does not know.",
        consequence="It was dropped; expected during an upgrade.",
    ),
    CatalogueEntry(
        number=EventNumber.TASK_FAILED,
        severity=Severity.ERROR,
        what="An internal task failed unexpectedly.",
        consequence="It was restarted or the daemon stopped; the detail says which.",
        action="Report it with the log lines around it.",
    ),
    CatalogueEntry(
        number=EventNumber.EVENTS_SUPPRESSED,
        severity=Severity.INFO,
        what="Repeats of an event were not logged; the detail has their count.",
        consequence="Only the log is shorter; metrics count everything.",
    ),
)

CATALOGUE: dict[EventNumber, CatalogueEntry] = {
    entry.number: entry for entry in _ENTRIES
}


def entry_for(number: int) -> CatalogueEntry | None:
    """Return the entry of a number, or None for a number of a newer version.

    >>> entry_for(101).severity
    <Severity.INFO: 'info'>
    >>> entry_for(1) is None
    True
    """
    try:
        return CATALOGUE.get(EventNumber(number))
    except ValueError:
        return None

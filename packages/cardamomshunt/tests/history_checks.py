"""Checks of the history of a finished simulation; each returns the violations."""

from cardamomshunt.effects import RequestKind
from cardamomshunt.position import ZERO, LogPosition
from cardamomshunt.verdict import Verdict
from fake_group import Operation, Simulation


def _final_values(simulation: Simulation) -> dict[int, int]:
    counts: dict[int, int] = {}
    for entry in simulation.primary.log:
        for value in entry.values:
            counts[value] = counts.get(value, 0) + 1
    return counts


def _writes(simulation: Simulation) -> list[Operation]:
    return [o for o in simulation.operations if o.kind is RequestKind.WRITE]


def _commits(simulation: Simulation) -> dict[tuple[str, int], Operation]:
    return {
        (o.session, o.transaction): o
        for o in simulation.operations
        if o.kind in (RequestKind.COMMIT, RequestKind.ROLLBACK)
    }


def _with_deciding_operations(
    simulation: Simulation,
) -> list[tuple[Operation, Operation | None]]:
    """Return each write with the operation whose result decides if it takes effect."""
    commits = _commits(simulation)
    return [
        (w, commits.get((w.session, w.transaction)) if w.transaction else w)
        for w in _writes(simulation)
    ]


def lost_writes(simulation: Simulation) -> list[Operation]:
    final = _final_values(simulation)
    return [
        write
        for write, end in _with_deciding_operations(simulation)
        if write.is_ok
        and end is not None
        and end.is_ok
        and end.kind is not RequestKind.ROLLBACK
        and write.value not in final
    ]


def repeated_writes(simulation: Simulation) -> list[int]:
    return [value for value, n in _final_values(simulation).items() if n > 1]


def incorrect_verdicts(simulation: Simulation) -> list[Operation]:
    """Return operations that ran with NOT_RUN, or were not sent with MAY_HAVE_RUN."""
    final = _final_values(simulation)
    wrong = [
        o
        for o in simulation.operations
        if o.verdict is Verdict.MAY_HAVE_RUN and not o.was_sent
    ]
    for write, end in _with_deciding_operations(simulation):
        is_not_run = (
            write.verdict is Verdict.NOT_RUN
            or end is None
            or (end.verdict is Verdict.NOT_RUN or end.kind is RequestKind.ROLLBACK)
        )
        if is_not_run and write.value in final:
            wrong.append(write)
    return wrong


def mixed_transactions(simulation: Simulation) -> list[tuple[int, ...]]:
    """Return log entries that are not exactly the statements of one transaction."""
    owners = {
        o.value: (o.session, o.transaction or -o.value) for o in _writes(simulation)
    }
    parts: dict[tuple[str, int], list[int]] = {}
    for write in _writes(simulation):
        if write.is_ok:
            parts.setdefault(owners[write.value], []).append(write.value)
    wrong = []
    for entry in simulation.primary.log:
        names = {owners[value] for value in entry.values}
        if (
            len(names) > 1
            or len(entry.values) > 1
            and list(entry.values) != parts[names.pop()]
        ):
            wrong.append(entry.values)
    return wrong


def stale_session_reads(simulation: Simulation) -> list[Operation]:
    """Return reads that miss a write which was acknowledged to their session before."""
    written: dict[str, LogPosition] = {}
    wrong = []
    for operation in sorted(simulation.operations, key=lambda o: o.started_ms):
        if not operation.is_ok or operation.position is None:
            continue
        known = written.get(operation.session, ZERO)
        is_outside = not operation.transaction
        if operation.kind is RequestKind.READ and is_outside:
            if operation.position < known:
                wrong.append(operation)
        elif operation.kind is RequestKind.COMMIT or is_outside:
            written[operation.session] = max(known, operation.position)
    return wrong


def backward_reads(simulation: Simulation) -> list[Operation]:
    """Return reads that show an older state than the previous read of the session."""
    seen: dict[str, LogPosition] = {}
    wrong = []
    for operation in sorted(simulation.operations, key=lambda o: o.started_ms):
        if operation.kind is RequestKind.READ and operation.position is not None:
            if operation.position < seen.get(operation.session, ZERO):
                wrong.append(operation)
            seen[operation.session] = operation.position
    return wrong


def reads_too_old(simulation: Simulation) -> list[Operation]:
    """Return reads that miss a write acknowledged before their age limit."""
    acknowledged = [
        (o.ended_ms, o.position)
        for o in simulation.operations
        if o.is_ok
        and o.position is not None
        and o.ended_ms is not None
        and (
            o.kind is RequestKind.COMMIT
            or (o.kind is RequestKind.WRITE and not o.transaction)
        )
    ]
    wrong = []
    for read in simulation.operations:
        if read.max_age_ms is None or read.position is None or read.ended_ms is None:
            continue
        limit = read.ended_ms - read.max_age_ms
        if any(t < limit and p > read.position for t, p in acknowledged):
            wrong.append(read)
    return wrong


CHECKS = (
    lost_writes,
    repeated_writes,
    incorrect_verdicts,
    mixed_transactions,
    stale_session_reads,
    backward_reads,
    reads_too_old,
)

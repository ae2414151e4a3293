"""Promises checked against what callers, servers and the provider saw."""

from collections import Counter, defaultdict

from soak_callers import History, Statement
from standin import KINDS, MAX_STALENESS_S, Group, Provider, Run

CONFIGURATION_APPLY_S = 3.0
# A statement that was sent this shortly before its connection ended may not have
# been read.
_UNREAD_WINDOW_S = 0.05


def check_all(
    history: History, group: Group, provider: Provider, databases: dict[int, str]
) -> list[str]:
    """Return all promises that were broken; `databases` is by session."""
    checks = _Checks(history, group, databases)
    return [
        *checks.duplicated_writes(),
        *checks.lost_writes(),
        *checks.refused_writes_with_effect(),
        *checks.writes_acknowledged_by_former_primary(),
        *checks.mixed_up_answers(),
        *checks.stale_reads(),
        *_configuration_violations(history),
        *_token_violations(provider),
    ]


class _Checks:
    """Index what happened by request."""

    def __init__(
        self, history: History, group: Group, databases: dict[int, str]
    ) -> None:
        self._history = history
        self._group = group
        self._databases = databases
        self._in_log = Counter(group.requests_committed())
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in group.runs:
            self._runs[run.request].append(run)
        self._positions = {
            commit.request: (commit.term, commit.number)
            for commit in group.all_commits
            if commit.request not in group.rolled_back
        }

    def duplicated_writes(self) -> list[str]:
        """Find writes that are in the log twice."""
        return [
            f"TWICE: {request} is in the log {n} times"
            for request, n in self._in_log.items()
            if n > 1
        ]

    def _acknowledged(self) -> list[tuple[Statement, list[str]]]:
        found = []
        for statement in self._history.statements:
            if not statement.is_success:
                continue
            if statement.kind == "write":
                found.append((statement, [statement.request]))
            elif statement.kind == "commit":
                found.append((statement, statement.writes))
        return found

    def lost_writes(self) -> list[str]:
        """Find acknowledged writes that no promotion took back and no log holds."""
        return [
            f"LOST: {request} was acknowledged and is not in the log"
            for _, requests in self._acknowledged()
            for request in requests
            if not self._in_log[request] and request not in self._group.rolled_back
        ]

    def refused_writes_with_effect(self) -> list[str]:
        """Find writes in the log whose caller was told that nothing is kept."""
        found = []
        for statement in self._history.statements:
            if not statement.is_refused_without_effect:
                continue
            requests = statement.writes or [statement.request]
            found += [
                f"REFUSED: {request} is kept, but {statement.lines[-1]}"
                for request in requests
                if self._in_log[request] or request in self._group.rolled_back
            ]
        return found

    def writes_acknowledged_by_former_primary(self) -> list[str]:
        """Find commits at a replaced primary that were acknowledged."""
        return [
            f"ONE: {request} was acknowledged by a former primary"
            for _, requests in self._acknowledged()
            for request in requests
            if request in self._group.late_commits
        ]

    def mixed_up_answers(self) -> list[str]:
        """Find answers that belong to another statement or session."""
        found = []
        for statement in self._history.statements:
            if not statement.is_success or statement.kind not in ("read", "write"):
                continue
            proof = statement.lines[-1].split()[-1]
            run = self._run_of(statement)
            if run is None:
                found.append(f"MIXED: {statement.request} has the proof {proof}")
            elif run.values != statement.values:
                found.append(f"PINNED: {statement.request} ran with {run.values}")
        return found

    def _run_of(self, statement: Statement) -> Run | None:
        proof = statement.lines[-1].split()[-1]
        return next(
            (
                run
                for run in self._runs[statement.request]
                if proof == f"proof-{run.server}-{statement.request}"
            ),
            None,
        )

    def stale_reads(self) -> list[str]:
        """Find reads on a log that lacked what they had to see."""
        acknowledged = sorted(
            (
                (statement.ended_s, statement.session, self._positions[request])
                for statement, requests in self._acknowledged()
                for request in requests
                if request in self._positions
            ),
        )
        found = []
        for statement in self._history.statements:
            if statement.kind != "read" or not statement.is_success:
                continue
            run = self._run_of(statement)
            database = self._databases.get(statement.session, "")
            if run is None or not database:
                continue
            required = max(
                (
                    position
                    for ended_s, session, position in acknowledged
                    if _must_see(database, statement, ended_s, session)
                ),
                default=(0, 0),
            )
            if run.position < required:
                found.append(
                    f"STALE: {statement.request} on {database} ran on {run.server} "
                    f"at {run.position} without {required}"
                )
        return found


def _must_see(
    database: str, statement: Statement, ended_s: float, session: int
) -> bool:
    """Tell whether a read has to see a write that was acknowledged at a time."""
    kind = KINDS[database]
    if kind == "primary":
        return ended_s <= statement.sent_s
    if kind == "read_your_writes" and session == statement.session:
        return ended_s <= statement.sent_s
    return ended_s <= statement.sent_s - MAX_STALENESS_S


def _configuration_violations(history: History) -> list[str]:
    found = []
    for version, sent_s in history.read_back:
        newest = max(
            (
                item
                for item, acknowledged_s in history.acknowledged
                if acknowledged_s + CONFIGURATION_APPLY_S <= sent_s
            ),
            default=0,
        )
        if version < newest:
            found.append(f"CONFIG: version {version} was read back after {newest}")
    return found


def _token_violations(provider: Provider) -> list[str]:
    found = []
    holders: dict[int, str] = {}
    newest = 0
    for server, token, holder in provider.calls:
        if token < newest:
            found.append(f"ONE: token {token} for {server} after {newest}")
        newest = max(newest, token)
        if holders.setdefault(token, holder) != holder:
            found.append(f"ONE: token {token} of {holders[token]} and {holder}")
    return found


def check_planned_stop(
    history: History, entry: str, started_s: float, ended_s: float
) -> list[str]:
    """Find statements that a planned stop of an entry VM cut."""
    return [
        f"LOST: {item.request} was cut by the stop of {entry}"
        for item in history.statements
        if item.entry == entry
        and item.is_broken
        and started_s <= item.ended_s <= ended_s
        and item.ended_s - item.sent_s > _UNREAD_WINDOW_S
    ]

"""Check the guarantees to callers against the records of all parties.

The records are those of the callers, the backend servers and the cloud provider.
"""

import reprlib
from collections import Counter, defaultdict

from soak_callers import History, Statement
from soak_deployment import SERVICE_CHECK_REQUEST, SERVICE_CHECK_TEXT
from standin import KINDS, MAX_STALENESS_S, Group, Provider, Run

CONFIGURATION_APPLY_S = 3.0
# The entry VM may not have read a statement that was sent this shortly before its
# connection ended.
_UNREAD_WINDOW_S = 0.05
_SERVICE_CHECK = (SERVICE_CHECK_REQUEST, SERVICE_CHECK_TEXT)
_TEXTS = reprlib.Repr()
_TEXTS.maxstring = 120


def check_all(
    history: History, group: Group, provider: Provider, databases: dict[int, str]
) -> list[str]:
    """Return all violated guarantees; `databases` maps sessions to databases."""
    checks = _Checks(history, group, databases)
    return [
        *checks.duplicated_writes(),
        *checks.lost_writes(),
        *checks.refused_writes_with_effect(),
        *checks.writes_acknowledged_by_former_primary(),
        *checks.unasked_runs(),
        *checks.mixed_up_answers(),
        *checks.changed_rows(),
        *checks.stale_reads(),
        *_configuration_violations(history),
        *_token_violations(provider),
    ]


class _Checks:
    """Check statements against the servers' logs and runs, indexed by request."""

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
        """Return violations for writes that are in the log more than once."""
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
        """Return violations for acknowledged writes that are missing from the log.

        Writes that a promotion rolled back are exempt.
        """
        return [
            f"LOST: {request} was acknowledged and is not in the log"
            for _, requests in self._acknowledged()
            for request in requests
            if not self._in_log[request] and request not in self._group.rolled_back
        ]

    def refused_writes_with_effect(self) -> list[str]:
        """Return violations for refused writes that reached a log.

        The answer guaranteed that they had no effect.
        """
        found = []
        for statement in self._history.statements:
            if not statement.is_refused_without_effect:
                continue
            requests = statement.writes or [statement.request]
            found += [
                f"REFUSED: {request} took effect, but {statement.lines[-1]}"
                for request in requests
                if self._in_log[request] or request in self._group.rolled_back
            ]
        return found

    def writes_acknowledged_by_former_primary(self) -> list[str]:
        """Return violations for acknowledged commits on a replaced primary.

        It counts as replaced once the provider is asked for the successor.
        """
        former = self._group.late_commits | self._group.released_commits
        return [
            f"ONE: {request} was acknowledged by a former primary"
            for _, requests in self._acknowledged()
            for request in requests
            if request in former
        ]

    def mixed_up_answers(self) -> list[str]:
        """Return violations for answers to another statement or with wrong settings.

        MIXED: the proof in the answer is not from a run of the statement. PINNED: the
        statement ran with other values than those of its session.
        """
        found = []
        for statement in self._history.statements:
            if not statement.is_success or statement.kind == "commit":
                continue
            proof = statement.lines[-1].split()[-1]
            run = self._find_run(statement)
            if run is None:
                found.append(f"MIXED: {statement.request} has the proof {proof}")
            elif run.values != statement.values:
                found.append(f"PINNED: {statement.request} ran with {run.values}")
        return found

    def unasked_runs(self) -> list[str]:
        """Return violations for runs of other statements than their callers sent."""
        sent = {item.request: item for item in self._history.statements}
        found = []
        for run in self._group.runs:
            statement = sent.get(run.request)
            if statement is None:
                if (run.request, run.text) != _SERVICE_CHECK:
                    found.append(f"UNASKED: {run.request} ran, which no caller sent")
            elif not _is_as_sent(run, statement):
                found.append(
                    f"UNASKED: {run.request} {_TEXTS.repr(statement.text)} of "
                    f"{statement.prepared!r} ran as {_TEXTS.repr(run.text)} of "
                    f"{run.prepared!r}"
                )
        return found

    def changed_rows(self) -> list[str]:
        """Return violations for answers with other rows than a server returned."""
        return [
            f"ROWS: {item.request} received {_TEXTS.repr(item.lines[:-1])}"
            for item in self._history.statements
            if item.is_success
            and item.kind != "commit"
            and all(run.rows != item.lines[:-1] for run in self._runs[item.request])
        ]

    def _find_run(self, statement: Statement) -> Run | None:
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
        """Return violations for reads at a position older than the required one."""
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
            run = self._find_run(statement)
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


def _is_as_sent(run: Run, statement: Statement) -> bool:
    """Return whether a server ran what a caller sent, but for a prepared name."""
    if run.prepared != statement.prepared:
        return False
    if not statement.prepared:
        return run.text == statement.text
    word, name, *_ = statement.text.split(" ")
    server_name = run.text.split(" ")[1]
    after_name = statement.text.removeprefix(f"{word} {name}")
    return run.text == f"{word} {server_name}{after_name}"


def _must_see(
    database: str, statement: Statement, ended_s: float, session: int
) -> bool:
    """Return whether a read must see a write of a session, acknowledged at a time."""
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
    """Return violations for statements that a planned stop of an entry VM broke."""
    return [
        f"LOST: {item.request} was broken by the planned stop of {entry}"
        for item in history.statements
        if item.entry == entry
        and item.is_broken
        and started_s <= item.ended_s <= ended_s
        and item.ended_s - item.sent_s > _UNREAD_WINDOW_S
    ]

"""Callers and an operator that record their requests and the answers."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt_node._http import HttpRequest
from standin import Caller, call_control, document

NO_EFFECT_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
_PAUSE_S = (0.005, 0.06)
# Less than the time after which a transaction counts as idle.
_REST_S = (0.2, 2.5)
_N_ITEMS = 40
_N_TEAMS = 6
_N_TEAM_CONNECTIONS_MAX = 20
# Names of prepared statements collide between callers, and shapes differ in blanks.
_NAMES = ("s1", "s2", "s3", "s4")
_SHAPES = ("q2c", "q2c ", " q2c", "q2c  ", "q2 c", "q2  c", "q2\tc", " ", "q2c\r")
_SEPARATORS = (
    *("", " ", "  ", "\t", "\n", "\r", "\r ", "\x0b", "\x0c", "\x1c", "\x85"),
    *("\u00a0", "\u2028", "\u3000", "\nQUERY other WRITE k1 gift\r"),
)
_LONG_SIZE_CHARACTERS = (10_000, 150_000)
_OPERATOR_PAUSE_S = 0.9


@dataclass
class Statement:
    """One statement of a caller with its outcome."""

    request: str
    session: int
    kind: str
    text: str
    entry: str
    sent_s: float
    ended_s: float = 0.0
    lines: list[str] = field(default_factory=list)
    is_broken: bool = False
    # For an execution: mode and shape of the prepared statement.
    prepared: str = ""
    values: dict[str, str] = field(default_factory=dict)
    # For a commit: the requests of the writes in its transaction.
    writes: list[str] = field(default_factory=list)

    @property
    def is_success(self) -> bool:
        """Return whether the answer confirms that the statement ran."""
        return bool(self.lines) and self.lines[-1].startswith("COMPLETE")

    @property
    def is_refused_without_effect(self) -> bool:
        """Return whether the answer guarantees that the statement had no effect."""
        words = self.lines[-1].split() if self.lines else []
        return words[:1] == ["ERROR"] and words[1] in NO_EFFECT_CODES


@dataclass
class History:
    """Requests of callers and the operator, with the answers."""

    statements: list[Statement] = field(default_factory=list)
    # Version and time of acknowledgement of each acknowledged configuration.
    acknowledged: list[tuple[int, float]] = field(default_factory=list)
    # Version and time of request of each configuration that was read back.
    read_back: list[tuple[int, float]] = field(default_factory=list)


class SoakCaller:
    """Run random statements as one caller and open a new session after a failure."""

    def __init__(
        self,
        history: History,
        database: str,
        random_source: random.Random,
        choose_entry: Callable[[], tuple[str, str]],
        rest_share: float = 0.0,
    ) -> None:
        self._history = history
        self._database = database
        self._random = random_source
        self._choose_entry = choose_entry
        self._rest_share = rest_share
        # Own draws, so that the statements of a seed stay the same.
        self._rests = random.Random(f"{database}/rests")
        self._session = 0
        self._entry = ""
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._caller: Caller | None = None
        self.sessions: list[int] = []

    async def run(self) -> None:
        """Execute statements until cancelled, then close the connection."""
        try:
            while True:
                await asyncio.sleep(self._random.uniform(*_PAUSE_S))
                await self._connect_and_run_operation()
        finally:
            self._disconnect()

    async def _connect_and_run_operation(self) -> None:
        try:
            if self._caller is None:
                await self._connect()
            await self._run_operation()
        except (OSError, TimeoutError):
            self._disconnect()
            await asyncio.sleep(0.1)

    def _disconnect(self) -> None:
        if self._caller is not None:
            self._caller.close()
        self._caller = None

    async def _connect(self) -> None:
        self._entry, address = self._choose_entry()
        async with asyncio.timeout(2.0):
            key = f"u{self._random.randint(1, _N_TEAMS)}"
            self._caller = await Caller.open(address, self._database, key)
        self._session = self._random.getrandbits(48)
        self.sessions.append(self._session)
        self._values = {"tag": self._odd_text(f"{self._session}"), "empty": ""}
        for name, value in self._values.items():
            await self._set_up(f"SET {name} {value}")
        self._prepared = {}
        for name in _NAMES:
            await self._prepare(name)

    async def _set_up(self, text: str) -> None:
        """Change the session; raise ConnectionError if that is refused."""
        assert self._caller is not None
        lines = await self._caller.execute(text)
        if lines != ["COMPLETE -"]:
            raise ConnectionError(lines[-1])

    async def _prepare(self, name: str) -> None:
        mode = self._random.choice(("READ", "WRITE"))
        self._prepared[name] = f"{mode} {self._random.choice(_SHAPES)}"
        await self._set_up(f"PREPARE {name} {self._prepared[name]}")

    def _odd_text(self, word: str) -> str:
        """Return a word with separators on both sides and within, or blanks only."""
        choice = self._random.random()
        if choice < 0.2:
            return " " * self._random.randrange(4)
        if choice < 0.23:
            word += "x" * self._random.randint(*_LONG_SIZE_CHARACTERS)
        first, middle, last = self._random.choices(_SEPARATORS, k=3)
        return f"{first}{word}{middle}{word}{last}"

    async def _run_operation(self) -> None:
        if self._random.random() < 0.05:
            await self._prepare(self._random.choice(_NAMES))
        choice = self._random.random()
        item = f"k{self._random.randrange(_N_ITEMS)}"
        if choice < 0.5:
            await self._execute_work("READ", item)
        elif choice < 0.8:
            await self._execute_work("WRITE", item)
        else:
            await self._transaction(item)
        # The protocol has callers close a session that is in a transaction after an
        # operation: a refused ROLLBACK leaves it open.
        if self._random.random() < 0.05 or (self._caller and self._caller.state != "I"):
            self._disconnect()

    async def _transaction(self, item: str) -> None:
        assert self._caller is not None
        lines = await self._caller.execute("BEGIN")
        if not lines[-1].startswith("COMPLETE"):
            return
        writes = []
        for _ in range(self._random.randrange(1, 4)):
            await asyncio.sleep(self._random.uniform(0.0, 0.05))
            mode = self._random.choice(("READ", "WRITE"))
            done = await self._execute_work(mode, item, is_in_transaction=True)
            if done.is_success and mode == "WRITE":
                writes.append(done.request)
            if not done.is_success:
                await self._caller.execute("ROLLBACK")
                return
        if self._rests.random() < self._rest_share:
            await asyncio.sleep(self._rests.uniform(*_REST_S))
        await self._execute("commit", "COMMIT", self._new_request(), writes=writes)

    async def _execute_work(
        self, mode: str, item: str, *, is_in_transaction: bool = False
    ) -> Statement:
        """Execute a plain or a prepared read or write of an item, with odd data."""
        request = self._new_request()
        kind = "in_transaction" if is_in_transaction else mode.lower()
        data = f" {self._odd_text(request)}" if self._random.random() < 0.9 else ""
        names = [name for name, text in self._prepared.items() if text.startswith(mode)]
        if not names or self._random.random() < 0.5:
            return await self._execute(kind, f"{mode} {item}{data}", request)
        name = self._random.choice(names)
        text, prepared = f"EXECUTE {name} {item}{data}", self._prepared[name]
        return await self._execute(kind, text, request, prepared=prepared)

    def _new_request(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    async def _execute(
        self,
        kind: str,
        text: str,
        request: str,
        *,
        prepared: str = "",
        writes: list[str] | None = None,
    ) -> Statement:
        assert self._caller is not None
        statement = Statement(
            request=request,
            session=self._session,
            kind=kind,
            text=text,
            entry=self._entry,
            sent_s=time.monotonic(),
            prepared=prepared,
            values=dict(self._values),
            writes=writes or [],
        )
        self._history.statements.append(statement)
        try:
            statement.lines = await self._caller.execute(text, statement.request)
        except (OSError, TimeoutError):
            statement.is_broken = True
            raise
        finally:
            statement.ended_s = time.monotonic()
        return statement

    @property
    def database(self) -> str:
        """Return the database that this caller uses."""
        return self._database


class SoakOperator:
    """Send configurations with increasing versions and read them back."""

    def __init__(
        self,
        history: History,
        random_source: random.Random,
        controls: list[str],
        *,
        has_teams: bool,
    ) -> None:
        self._history = history
        self._random = random_source
        self._controls = controls
        self._has_teams = has_teams
        self.version = 0

    async def run(self) -> None:
        """Send configurations and read them back until cancelled."""
        while True:
            await self.put(self.version + self._random.randrange(1, 4))
            await asyncio.sleep(_OPERATOR_PAUSE_S)
            await self.read()

    async def put(self, version: int) -> None:
        """Send a configuration repeatedly until it is acknowledged."""
        self.version = version
        while not await self._call(
            "POST", "/Configuration.Replace", self._document(version)
        ):
            await asyncio.sleep(0.15)
        self._history.acknowledged.append((version, time.monotonic()))

    async def read(self) -> int | None:
        """Read the newest configuration; return its version, or None."""
        sent_s = time.monotonic()
        body = await self._call("GET", "/Configuration.Read", b"")
        if not body:
            return None
        version = int(json.loads(body)["version"])
        self._history.read_back.append((version, sent_s))
        return version

    async def _call(self, method: str, path: str, body: bytes) -> bytes | None:
        """Return the body of a successful response, or None."""
        request = HttpRequest(method, path, body)
        try:
            response = await call_control(
                self._random.choice(self._controls), request, 1_000.0
            )
        except (OSError, TimeoutError):
            return None
        return (response.body or b"{}") if response.status == 200 else None

    def _document(self, version: int) -> bytes:
        """Return a configuration document whose time limit depends on its version."""
        timeout_ms = 1_000 + version
        if not self._has_teams:
            return document(version, timeout_ms=timeout_ms, n_connections_max=60)
        return document(
            version,
            timeout_ms=timeout_ms,
            n_connections_max=_N_TEAM_CONNECTIONS_MAX,
            tenants=[
                {"name": f"team-{number}", "api_keys": [f"u{number}"]}
                for number in range(1, _N_TEAMS + 1)
            ],
        )

"""Adaptive concurrency limit of one entry VM for one backend server."""

import enum
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

# Levels are shares of the full limit of a server.
FULL_LEVEL = 1.0
# One statement in flight for each slot: a server without peers is busy, without a queue.
SLOTS_LEVEL = 1.0 / 2.0
START_LEVEL = 1.0 / 8.0
MIN_LEVEL = 1.0 / 64.0
_WARM_UP_LEVEL = 1.0 / 16.0
# Statements in flight for each slot at the full level: one runs and one waits.
_N_PER_SLOT = 2.0
# A VM follows its zone if its own level is this many times higher.
_FOLLOW_FACTOR = 4.0
# What the other VMs of a zone see arrives after up to two lease requests.
_ROUND_MS = 500.0
_ROUND_MAX_MS = 4_000.0
_N_ANSWERS_PER_ROUND = 2.5
# One VM alone sends a statement in one to four seconds to a server that is only probed.
_N_ANSWERS_PER_PROBE_ROUND = 1.5
_TIMELY_RATIO = 1.5
_LATE_RATIO = 2.5
# One hanging statement does not outweigh ten timely ones.
_RATIO_MAX = 10.0
_GROWTH = 2.0
# A server that was only probed is back after few statements.
_PROBE_GROWTH = 4.0
# Growth above one statement for each slot without a peer: more only fill a queue.
_CAREFUL_GROWTH = 1.0 / 16.0
_LATE_FACTOR = 0.5
_FAILURE_FACTOR = 0.125
_FAILURE_SHARE_MAX = 0.2
_N_FAILURES_MIN = 1.5
# At its full share a server is judged by its newest answers; a restricted one has few.
_HALF_LIFE_MS = 1_000.0
_RESTRICTED_HALF_LIFE_MS = 4_000.0
_STABLE_MS = 10_000.0
# In an overload of a whole group each server has its full share for a short time only.
_FULL_SHARE_UNTIL_WARM_MS = 2_000.0
# A server may need work to get warm, so late answers do not reduce it to probes at first.
_SLOW_START_FLOOR_MS = 10_000.0
_ZONE_SAMPLE_TIMEOUT_MS = 1_000.0
_LATENCY_ASSUMED_MS = 20.0
_LATENCY_SMOOTHING = 0.3
# After a recovery the pauses must not follow statements that were lost before.
_FASTER_SMOOTHING = 0.7
# Pauses between statements are bounded, so that a recovered server is found.
_PAUSE_MAX_MS = 4_000.0
_URGENT_BOOST = 4.0
_USER_TIMEOUT_MS = 5_000.0
_ACTIVE_SHARE_MIN = 1.0 / 3.0


class PaceSample(msgspec.Struct, frozen=True, array_like=True):
    """Recent answers of a server, as one or several entry VMs saw them.

    The counts decay. `ratio_sum` adds up the ratios of latencies to their reference,
    and `level_sum` the levels of `n_entries` VMs. `n_users` of these lately used the server.
    """

    server: str
    started_ms: int
    n_answers: float = 0.0
    n_failures: float = 0.0
    ratio_sum: float = 0.0
    level_sum: float = 0.0
    n_entries: int = 1
    n_users: int = 0


def merge_samples(samples: Iterable[PaceSample]) -> list[PaceSample]:
    """Add up the samples of each server; those of an earlier start are left out."""
    merged: dict[str, PaceSample] = {}
    for item in samples:
        known = merged.get(item.server)
        if known is None or known.started_ms < item.started_ms:
            merged[item.server] = item
        elif known.started_ms == item.started_ms:
            merged[item.server] = PaceSample(
                server=item.server,
                started_ms=item.started_ms,
                n_answers=known.n_answers + item.n_answers,
                n_failures=known.n_failures + item.n_failures,
                ratio_sum=known.ratio_sum + item.ratio_sum,
                level_sum=known.level_sum + item.level_sum,
                n_entries=known.n_entries + item.n_entries,
                n_users=known.n_users + item.n_users,
            )
    return list(merged.values())


class PaceReason(enum.Enum):
    """Why the limit of a server changed."""

    NEW = "new"
    START = "start"
    WARM_UP = "warm_up"
    RECOVERY = "recovery"
    LATE = "late"
    FAILURES = "failures"
    TIMELY = "timely"
    ZONE = "zone"
    FLOOR = "floor"


class AnswerKind(enum.Enum):
    """What became of a statement at a server, as far as its pace is concerned."""

    ANSWERED = "answered"
    # Answered without work, as by a replica that lags: says nothing about the pace.
    UNCOUNTED = "uncounted"
    # Not run, as the server has too much work.
    REFUSED = "refused"
    # Lost, not answered in time, or an error of the server.
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class PaceChange:
    """Change of a server's level, with the inputs of the decision."""

    server: str
    reason: PaceReason
    former_level: float
    level: float
    n_answers: float
    failure_share: float
    ratio: float

    @property
    def is_notable(self) -> bool:
        """Return whether a slow start began, or the limit reached an end of its range."""
        if self.level == self.former_level:
            return False
        is_slow_start = self.reason in (
            PaceReason.NEW,
            PaceReason.START,
            PaceReason.WARM_UP,
            PaceReason.RECOVERY,
        )
        return is_slow_start or self.level >= FULL_LEVEL or self.level <= MIN_LEVEL


@dataclass(slots=True, eq=False)
class ServerUse:
    """Use of a server by a statement or transaction, from its admission to its end.

    Its statement counts as late once `late_after_ms` has passed without an answer. It
    stops running with the answer, so that an idle transaction takes up no limit.
    """

    priority: int
    is_running: bool = True
    late_after_ms: float = float("inf")
    is_counted: bool = False


@dataclass(slots=True)
class _Answers:
    """Decayed counts of the answers that one entry VM got."""

    n_all: float = 0.0
    n_failures: float = 0.0
    ratio_sum: float = 0.0
    recorded_ms: float = 0.0

    def decay(self, now_ms: float, half_life_ms: float) -> None:
        factor = 0.5 ** (max(now_ms - self.recorded_ms, 0.0) / half_life_ms)
        self.n_all *= factor
        self.n_failures *= factor
        self.ratio_sum *= factor
        self.recorded_ms = now_ms


class ServerPace:
    """Limit the statements that an entry VM has in flight at one server.

    All VMs of a zone change the level by the sums of what they see. The limit of one VM
    is its part of the level. If that is below one statement in flight, the VM sends one
    statement at a time, with pauses.
    """

    __slots__ = (
        "_answers",
        "_changed_ms",
        "_failed_ms",
        "_latency_ms",
        "_ended_ms",
        "_must_extend_round",
        "_n_other_users",
        "_round_ms",
        "_start_part",
        "_slow_start_ms",
        "_used_ms",
        "_uses",
        "_warm_up_end_ms",
        "_zone",
        "_zone_ms",
        "_is_new",
        "entry",
        "level",
        "n_sharers",
        "n_zones",
        "n_slots",
        "server",
        "started_ms",
    )

    def __init__(
        self, entry: str, server: str, started_ms: int = 0, n_slots: int = 1
    ) -> None:
        self.entry = entry
        self.server = server
        self.started_ms = started_ms
        self.n_slots = n_slots
        # Entry VMs that may use the server, and the zones that they are in.
        self.n_sharers = 1
        self.n_zones = 1
        self._n_other_users: int | None = None
        self._used_ms = float("-inf")
        self.level = FULL_LEVEL
        self._changed_ms = float("-inf")
        self._failed_ms = float("-inf")
        self._round_ms = _ROUND_MS
        self._must_extend_round = False
        self._is_new = False
        self._warm_up_end_ms = float("-inf")
        self._slow_start_ms = float("-inf")
        self._answers = _Answers()
        self._zone: PaceSample | None = None
        self._zone_ms = float("-inf")
        self._latency_ms = _LATENCY_ASSUMED_MS
        # The VMs send their first statements to a starting server at different times.
        self._start_part = zlib.crc32(f"{entry} {server}".encode()) / 2.0**32
        self._ended_ms: dict[int, float] = {}
        self._uses: set[ServerUse] = set()

    # Starts

    def start_slowly(
        self, now_ms: float, reason: PaceReason, warm_up_ms: float = 0.0
    ) -> PaceChange | None:
        """Begin a slow start, as the server started, recovered or warms up."""
        self._is_new = reason is PaceReason.NEW
        self._warm_up_end_ms = now_ms + warm_up_ms
        self._slow_start_ms = now_ms
        level = _WARM_UP_LEVEL if warm_up_ms > 0.0 else START_LEVEL
        if self.level <= level:
            return None
        self._ended_ms.clear()
        return self._change(now_ms, level, reason, PaceSample("", 0))

    def restart(
        self, now_ms: float, started_ms: int, warm_up_ms: float = 0.0
    ) -> PaceChange | None:
        """Begin a slow start of a new incarnation of the server."""
        self.started_ms = started_ms
        self._zone = None
        self._answers = _Answers()
        reason = PaceReason.WARM_UP if warm_up_ms > 0.0 else PaceReason.START
        return self.start_slowly(now_ms, reason, warm_up_ms)

    # Limit

    @property
    def has_full_share(self) -> bool:
        """Return whether the use of the server is not restricted."""
        return self.level >= FULL_LEVEL

    def is_warm(self, now_ms: float) -> bool:
        """Return whether the server has had its full share for some time."""
        return (
            self.has_full_share
            and now_ms >= self._changed_ms + _FULL_SHARE_UNTIL_WARM_MS
        )

    def has_failed_lately(self, now_ms: float) -> bool:
        """Return whether the level fell because of failures a short time ago."""
        return now_ms < self._failed_ms + _STABLE_MS

    def limit(self, priority: int) -> float:
        """Return how many statements may be in flight, possibly less than one.

        A falling limit affects the low priorities first. A server that is only probed is
        not probed with urgent statements in particular.
        """
        if self.has_full_share:
            return float("inf")
        boost = 1.0
        if self.level >= START_LEVEL:
            boost = max(_URGENT_BOOST * 0.5 ** max(priority, 0), 1.0)
        return self.level * boost * self.n_slots * _N_PER_SLOT / self._n_active_sharers

    @property
    def _n_active_sharers(self) -> float:
        """Return among how many VMs the limit is divided.

        Those that do not use the server leave their part to the others, but only some
        of it, as they may begin to, and nothing of a server that is only probed.
        """
        if self._n_other_users is None or self.level < START_LEVEL:
            return max(self.n_sharers, 1)
        n_users = (self._n_other_users + 1) * self.n_zones
        return max(min(n_users, self.n_sharers), self.n_sharers * _ACTIVE_SHARE_MIN, 1)

    def allows(self, now_ms: float, priority: int) -> bool:
        """Return whether one more statement may be sent now.

        Statements of lower priorities that are at the server do not hold it back.
        """
        limit = self.limit(priority)
        if limit == float("inf"):
            return True
        if limit >= 1.0:
            return self._n_in_flight(priority) + 1 <= limit
        return self.is_pausing(priority) and now_ms >= self.pause_end_ms(priority)

    def is_pausing(self, priority: int) -> bool:
        """Return whether only the end of a pause is awaited, and no answer."""
        return self.limit(priority) < 1.0 and not self._n_in_flight(priority)

    def _n_in_flight(self, priority: int) -> int:
        return sum(use.is_running and use.priority <= priority for use in self._uses)

    def pause_end_ms(self, priority: int) -> float:
        """Return when the next statement of a priority may be sent if none is there.

        The pause keeps the mean number of statements in flight within the limit.
        """
        limit = min(self.limit(priority), 1.0)
        pause_ms = min(self._latency_ms * (1.0 / limit - 1.0), _PAUSE_MAX_MS)
        ended_ms = self._ended_ms.get(priority)
        if ended_ms is None:
            return self._slow_start_ms + self._start_part * pause_ms
        return ended_ms + pause_ms

    # Answers

    def enter(self, priority: int) -> ServerUse:
        """Count a statement that was let through, until it leaves."""
        use = ServerUse(priority)
        self._uses.add(use)
        return use

    def leave(self, use: ServerUse, now_ms: float) -> None:
        """End a use of the server."""
        self._uses.discard(use)
        self._used_ms = now_ms
        self._ended_ms[use.priority] = now_ms

    def on_answer(
        self,
        use: ServerUse | None,
        now_ms: float,
        elapsed_ms: float,
        kind: AnswerKind,
        ratio: float = 1.0,
    ) -> None:
        """Record what became of a statement; `ratio` is that to the reference.

        A refusal counts as a late answer.
        """
        is_counted = use is not None and use.is_counted
        if use is not None:
            use.late_after_ms, use.is_counted = float("inf"), False
            use.is_running = False
            self._ended_ms[use.priority] = now_ms
        if kind is AnswerKind.UNCOUNTED:
            return
        # A refusal is fast, but must not make the pauses shorter.
        pace_ms = max(elapsed_ms, _LATENCY_ASSUMED_MS)
        is_faster = pace_ms < self._latency_ms
        smoothing = _FASTER_SMOOTHING if is_faster else _LATENCY_SMOOTHING
        self._latency_ms += smoothing * (pace_ms - self._latency_ms)
        self._decay(now_ms)
        if not is_counted:
            self._answers.n_all += 1.0
        if kind is AnswerKind.FAILED:
            self._answers.n_failures += 1.0
            if is_counted:
                self._answers.ratio_sum = max(self._answers.ratio_sum - _RATIO_MAX, 0.0)
        elif kind is AnswerKind.REFUSED:
            self._answers.ratio_sum += _RATIO_MAX
        elif not is_counted:
            self._answers.ratio_sum += min(ratio, _RATIO_MAX)

    def _count_overdue(self, now_ms: float) -> None:
        """Count statements without an answer as late before their deadline."""
        for use in self._uses:
            if not use.is_counted and now_ms > use.late_after_ms:
                use.is_counted = True
                self._answers.n_all += 1.0
                self._answers.ratio_sum += _RATIO_MAX

    def _decay(self, now_ms: float) -> None:
        is_full = self.has_full_share
        self._answers.decay(
            now_ms, _HALF_LIFE_MS if is_full else _RESTRICTED_HALF_LIFE_MS
        )

    def sample(self, now_ms: float) -> PaceSample:
        """Return what this VM saw, for the others of the zone."""
        self._decay(now_ms)
        self._count_overdue(now_ms)
        return PaceSample(
            server=self.server,
            started_ms=self.started_ms,
            n_answers=round(self._answers.n_all, 2),
            n_failures=round(self._answers.n_failures, 2),
            ratio_sum=round(self._answers.ratio_sum, 2),
            level_sum=self.level,
            n_users=int(bool(self._uses) or now_ms < self._used_ms + _USER_TIMEOUT_MS),
        )

    def on_zone_sample(self, sample: PaceSample, now_ms: float) -> None:
        """Record what the other VMs of the zone saw, unless of an earlier start."""
        if sample.started_ms == self.started_ms:
            self._zone, self._zone_ms = sample, now_ms
            self._n_other_users = sample.n_users

    # Adaptation

    def adapt(
        self, now_ms: float, floor: float = MIN_LEVEL, *, has_warm_peer: bool = False
    ) -> PaceChange | None:
        """Change the level if the answers since the last change ask for it.

        A warm-up keeps the level low only if a peer can do the work.
        """
        self._decay(now_ms)
        self._count_overdue(now_ms)
        if now_ms > self._zone_ms + _ZONE_SAMPLE_TIMEOUT_MS:
            self._n_other_users = None
        inputs = self._inputs(now_ms)
        known_level = self._take_zone_level()
        if known_level is not None:
            return self._change(
                now_ms, max(known_level, floor), PaceReason.ZONE, inputs
            )
        if self.level < floor:
            return self._change(now_ms, floor, PaceReason.FLOOR, inputs)
        if now_ms < self._changed_ms + _ROUND_MS:
            return None
        if self._is_failing(inputs):
            self._extend_round(now_ms)
            level = max(self.level * _FAILURE_FACTOR, floor)
            return self._change(now_ms, level, PaceReason.FAILURES, inputs)
        ratio = _mean_ratio(inputs)
        has_answers = inputs.n_answers >= _N_ANSWERS_PER_ROUND
        if has_answers and ratio > _LATE_RATIO:
            if now_ms < self._slow_start_ms + _SLOW_START_FLOOR_MS:
                floor = max(floor, min(START_LEVEL, self.level))
            level = max(self.level * _LATE_FACTOR, floor)
            return self._change(now_ms, level, PaceReason.LATE, inputs)
        zone_level = self._zone_level
        if zone_level is not None and self.level > _FOLLOW_FACTOR * zone_level:
            level = max(_GROWTH * zone_level, floor)
            return self._change(now_ms, level, PaceReason.ZONE, inputs)
        if self.has_full_share:
            return None
        if self.level < START_LEVEL:
            has_answers = inputs.n_answers >= _N_ANSWERS_PER_PROBE_ROUND
        if not has_answers or ratio > _TIMELY_RATIO:
            return None
        if now_ms < self._changed_ms + self._round_ms:
            return None
        is_capped = has_warm_peer and now_ms < self._warm_up_end_ms
        level = min(
            self._grown_level(has_warm_peer=has_warm_peer),
            START_LEVEL if is_capped else FULL_LEVEL,
        )
        if not self.has_failed_lately(now_ms):
            self._round_ms = _ROUND_MS
        self._must_extend_round = True
        return self._change(now_ms, level, PaceReason.TIMELY, inputs)

    def _grown_level(self, *, has_warm_peer: bool) -> float:
        if self.level >= SLOTS_LEVEL and not has_warm_peer:
            return self.level + _CAREFUL_GROWTH
        growth = _GROWTH if self.level >= START_LEVEL else _PROBE_GROWTH
        return self.level * growth

    def _is_failing(self, inputs: PaceSample) -> bool:
        return (
            inputs.n_failures >= _N_FAILURES_MIN
            and inputs.n_failures > _FAILURE_SHARE_MAX * inputs.n_answers
        )

    def _extend_round(self, now_ms: float) -> None:
        """Let a server that fails again after a recovery regain its share more slowly."""
        if self._must_extend_round and self.has_failed_lately(now_ms):
            self._round_ms = min(2.0 * self._round_ms, _ROUND_MAX_MS)
        self._failed_ms = now_ms
        self._must_extend_round = False

    @property
    def _zone_level(self) -> float | None:
        """Return the mean level of the other VMs, or None if few of them report.

        A VM whose own network fails must not lower the limits of all others.
        """
        zone = self._zone
        if zone is None or self._zone_ms <= self._changed_ms:
            return None
        n_reporting_min = _ACTIVE_SHARE_MIN * self.n_sharers / self.n_zones
        if zone.n_entries < max(n_reporting_min, 1.0):
            return None
        return zone.level_sum / zone.n_entries

    def _take_zone_level(self) -> float | None:
        """Adopt the level of the zone once, if the server is new to this VM.

        The VM does not know whether the server started or it has started itself.
        """
        zone_level = self._zone_level
        if not self._is_new or zone_level is None:
            return None
        self._is_new = False
        return zone_level if zone_level > self.level else None

    def _inputs(self, now_ms: float) -> PaceSample:
        """Return the sums over the zone, without those from before the last change."""
        own = self.sample(now_ms)
        is_fresh = (
            now_ms <= self._zone_ms + _ZONE_SAMPLE_TIMEOUT_MS
            and self._zone_ms > self._changed_ms + _ROUND_MS / 2.0
        )
        if self._zone is None or not is_fresh:
            return own
        return merge_samples([own, self._zone])[0]

    def _change(
        self, now_ms: float, level: float, reason: PaceReason, inputs: PaceSample
    ) -> PaceChange:
        former, self.level = self.level, level
        self._changed_ms = now_ms
        self._answers = _Answers(recorded_ms=now_ms)
        return PaceChange(
            server=self.server,
            reason=reason,
            former_level=former,
            level=level,
            n_answers=round(inputs.n_answers, 1),
            failure_share=round(inputs.n_failures / max(inputs.n_answers, 1.0), 2),
            ratio=round(_mean_ratio(inputs), 1),
        )


def _mean_ratio(inputs: PaceSample) -> float:
    n_answered = inputs.n_answers - inputs.n_failures
    return inputs.ratio_sum / n_answered if n_answered >= 0.1 else 1.0

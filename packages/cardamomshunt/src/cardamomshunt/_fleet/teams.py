"""Teams of callers: their keys, priorities and rate limits."""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

_DIGEST_SIZE_BYTES = 16
_FINGERPRINT_LENGTH = 8


class TeamInvalidError(ValueError):
    """Report a team of a configuration that is not valid."""


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and looked up.

    A caller's key may hold bytes that are no UTF-8, as escapes.
    """
    data = key.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_SIZE_BYTES).digest()


def key_fingerprint(digest: bytes) -> str:
    """Return the start of a digest, which identifies a key to operators."""
    return digest.hex()[:_FINGERPRINT_LENGTH]


@dataclass(slots=True, frozen=True)
class Team:
    """Team of callers; a `rate_per_s` of 0 stands for no limit."""

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Return whether the team has a rate limit."""
        return self.rate_per_s > 0.0


@dataclass(slots=True, frozen=True)
class TeamTable:
    """Teams of one version of the configuration, by name and by key.

    >>> table = build_team_table([Team("desk", frozenset({key_digest("k1")}))])
    >>> table.by_digest[key_digest("k1")].name, key_digest("k2") in table.by_digest
    ('desk', False)
    """

    teams: dict[str, Team] = field(default_factory=dict)
    by_digest: dict[bytes, Team] = field(default_factory=dict, repr=False)
    has_limits: bool = False


def build_team_table(teams: Iterable[Team]) -> TeamTable:
    """Build a validated table; raise TeamInvalidError at the first error."""
    by_name: dict[str, Team] = {}
    by_digest: dict[bytes, Team] = {}
    for team in teams:
        _check_team(team)
        if team.name in by_name:
            raise TeamInvalidError(f"team {team.name!r} is listed twice")
        by_name[team.name] = team
        for digest in team.key_digests:
            other = by_digest.setdefault(digest, team)
            if other is not team:
                raise TeamInvalidError(
                    f"teams {other.name!r} and {team.name!r} share a key"
                )
    has_limits = any(team.is_limited for team in by_name.values())
    return TeamTable(by_name, by_digest, has_limits)


def _check_team(team: Team) -> None:
    # A blank or a control character would end the name in a line of the protocol.
    if not team.name or not team.name.isprintable() or " " in team.name:
        raise TeamInvalidError(f"team {team.name!r}: the name is empty or malformed")
    for label, value in (("rate_per_s", team.rate_per_s), ("burst", team.burst)):
        if not math.isfinite(value) or value < 0.0:
            raise TeamInvalidError(
                f"team {team.name!r}: {label} must be finite and not negative"
            )
    if key_digest("") in team.key_digests:
        raise TeamInvalidError(f"team {team.name!r}: a key is empty")
    if team.burst and not team.rate_per_s:
        raise TeamInvalidError(f"team {team.name!r}: a burst needs a rate_per_s")

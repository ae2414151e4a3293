"""Choice of a new primary among the servers that answered."""

import msgspec

from cardamomshunt._shared.position import LogPosition


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Log status of a server; `received` counts writes not applied yet, too."""

    server: str
    is_primary: bool
    term: int
    received: LogPosition


def choose_successor(
    statuses: list[ServerStatus],
    *,
    former: str,
    n_servers: int,
    n_sync_replicas: int,
) -> str | None:
    """Return the most advanced server, or None if an acknowledged write may be missed.

    An acknowledged write is stored on the former primary and on `n_sync_replicas` other
    servers. At most `n_sync_replicas - 1` of the others may therefore be missing from
    the comparison.

    >>> choose_successor([], former="a", n_servers=3, n_sync_replicas=0) is None
    True
    """
    others = [status for status in statuses if status.server != former]
    n_needed = max(n_servers - 1 - max(n_sync_replicas - 1, 0), 1)
    if not others or (n_sync_replicas > 0 and len(others) < n_needed):
        return None
    best = max(others, key=lambda status: (status.received, status.server))
    return best.server

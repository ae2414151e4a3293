"""The choice of a new primary among the servers that answered."""

import msgspec

from cardamomshunt._shared.position import LogPosition


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a server says of its log; `received` may be ahead of `applied`."""

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

    An acknowledged write is held by the former primary and `n_sync_replicas` others,
    so that all but that many less one of the others have to be compared.

    >>> choose_successor([], former="a", n_group=3, n_sync_replicas=0) is None
    True
    """
    others = [status for status in statuses if status.server != former]
    n_needed = max(n_servers - 1 - max(n_sync_replicas - 1, 0), 1)
    if not others or (n_sync_replicas > 0 and len(others) < n_needed):
        return None
    best = max(others, key=lambda status: (status.received, status.server))
    return best.server

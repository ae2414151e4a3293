"""Order in which the servers of a group are tried for a read."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReadCandidate:
    """Server that is fresh enough for a read, as one entry VM sees it.

    `is_busy` says that it lately refused work, or that many statements of this entry VM
    are there already; `n_in_flight` counts those.
    """

    server: str
    is_primary: bool = False
    is_in_zone: bool = True
    is_unreliable: bool = False
    is_busy: bool = False
    n_in_flight: int = 0


def order_of_reads(
    entry: str, candidates: Iterable[ReadCandidate], *, is_primary_reserved: bool
) -> list[str]:
    """Return the servers for a read of an entry VM, best first.

    Reads prefer their own zone, in which the primary is as good as a replica. If
    `is_primary_reserved`, they leave the primary to the statements that only it can run,
    unless all others are busy. Servers that are equally good are ordered by a hash, so
    that an entry VM reuses its connections and different ones use different servers.

    >>> near = ReadCandidate("a", is_primary=True)
    >>> far = ReadCandidate("b", is_in_zone=False)
    >>> order_of_reads("entry-1", [near, far], is_primary_reserved=False)
    ['a', 'b']
    >>> order_of_reads("entry-1", [near, far], is_primary_reserved=True)
    ['b', 'a']
    """

    def rank(item: ReadCandidate) -> tuple[bool, bool, bool, bool, int, bool, int]:
        return (
            item.is_unreliable,
            item.is_busy,
            item.is_primary and is_primary_reserved,
            not item.is_in_zone,
            item.n_in_flight,
            item.is_primary,
            zlib.crc32(f"{entry} {item.server}".encode()),
        )

    return [item.server for item in sorted(candidates, key=rank)]

"""Entry VMs of each zone that may own sessions, as the control nodes know them."""

from dataclasses import dataclass

from cardamomshunt._fleet.messages import LeaseRequest

# Eight requests of an entry VM are missing by then. Those that forward sessions to it
# notice its failure themselves.
_SILENT_AFTER_MS = 2_000.0
# Followers hear from the entry VMs of other zones only every 3 s.
_NEW_LEADER_MS = 2_500.0
_SILENT_TO_NEW_LEADER_AFTER_MS = 6_000.0
# A VM that was silent is listed again only after this time, as it may be silent again.
_RETURN_AFTER_MS = 1_000.0
_RETENTION_MS = 30_000.0


@dataclass(slots=True)
class _Member:
    zone: str = ""
    incarnation: int = 0
    is_ready: bool = False
    last_heard_ms: float = float("-inf")
    listed_from_ms: float = float("-inf")


class ZoneMembers:
    """Track which entry VMs of a zone are alive, configured and not draining."""

    def __init__(self) -> None:
        self._members: dict[str, _Member] = {}
        self._leader_since_ms = float("-inf")

    def on_leadership(self, now_ms: float) -> None:
        """Start to lead, knowing only the requests that this node got as a follower."""
        self._leader_since_ms = now_ms
        for member in self._members.values():
            member.listed_from_ms = float("-inf")

    def record(self, address: str, request: LeaseRequest, now_ms: float) -> None:
        """Record the request of an entry VM, received here or through another node."""
        member = self._members.get(address)
        if member is None:
            member = self._members[address] = _Member(last_heard_ms=now_ms)
            self._remove_old(now_ms)
        is_same_run = member.incarnation == request.incarnation
        if is_same_run and now_ms > member.last_heard_ms + self._silent_ms(now_ms):
            member.listed_from_ms = now_ms + _RETURN_AFTER_MS
        member.last_heard_ms = now_ms
        member.incarnation = request.incarnation
        member.zone = request.zone
        member.is_ready = request.version > 0 and not request.is_draining

    def _remove_old(self, now_ms: float) -> None:
        for address in [
            key
            for key, member in self._members.items()
            if now_ms > member.last_heard_ms + _RETENTION_MS
        ]:
            del self._members[address]

    def _silent_ms(self, now_ms: float) -> float:
        if now_ms < self._leader_since_ms + _NEW_LEADER_MS:
            return _SILENT_TO_NEW_LEADER_AFTER_MS
        return _SILENT_AFTER_MS

    def entries_of(self, zone: str, n_stored: int, now_ms: float) -> list[str] | None:
        """Return the entry VMs of a zone, sorted, or None while too few are known.

        `n_stored` is the number of entry VMs of all zones in the replicated log. A new
        leader that has not heard from as many knows only a part of the zone.
        """
        if not zone:
            return None
        silent_ms = self._silent_ms(now_ms)
        live = [
            (address, member)
            for address, member in self._members.items()
            if now_ms <= member.last_heard_ms + silent_ms
        ]
        is_new = now_ms < self._leader_since_ms + _NEW_LEADER_MS
        if is_new and len(live) < max(n_stored, 1):
            return None
        return sorted(
            address
            for address, member in live
            if member.zone == zone
            and member.is_ready
            and now_ms >= member.listed_from_ms
        )

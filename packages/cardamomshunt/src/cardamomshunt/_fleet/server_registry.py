"""Registry of the reports that backend servers send about themselves."""

import enum
import zlib
from collections.abc import Container

import msgspec

from cardamomshunt._shared.messages import InstanceRole


class ServerState(enum.Enum):
    """Whether a backend server accepts new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report of a backend server about itself.

    `started_ms` is the wall-clock time of the server's start, and `sequence` counts its
    reports since then; together they order the reports of one server. `warm_up_ms` is
    the time for which it expects to be slow, from when it sent the report.
    """

    server: str
    group: str
    address: str
    zone: str
    state: ServerState
    role: InstanceRole
    started_ms: int
    sequence: int
    n_slots: int = 1
    warm_up_ms: float = 0.0

    @property
    def order_key(self) -> tuple[int, bool, int]:
        """Return the sort key of the reports of one server.

        GONE sorts last among the reports since a start, so it is final until a restart.
        """
        return (self.started_ms, self.state is ServerState.GONE, self.sequence)

    def differs_from(self, other: "ServerReport") -> bool:
        """Return whether the reports differ in more than their sequence.

        The rest of a warm-up changes with each report; only its end is a difference.
        """
        is_same_warm_up = (self.warm_up_ms > 0.0) == (other.warm_up_ms > 0.0)
        return not is_same_warm_up or (
            msgspec.structs.replace(
                self, sequence=other.sequence, warm_up_ms=other.warm_up_ms
            )
            != other
        )


class ServerRegistry:
    """Track the newest report of each backend server, whatever path it came by.

    Reports under the name of one server that name different groups are kept apart: one
    of them comes from another writer, and must not hide what the server says.
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], ServerReport] = {}
        self._digest: int | None = None

    def merge(self, report: ServerReport) -> bool:
        """Merge a report; return whether it changes anything but the sequence."""
        known = self.get(report.server, report.group)
        if known is not None and report.order_key <= known.order_key:
            return False
        if (
            known is not None
            and known.started_ms == report.started_ms
            and known.state is ServerState.DRAINING
            and report.state is ServerState.READY
        ):
            return False
        self._reports[report.server, report.group] = report
        has_changed = known is None or report.differs_from(known)
        if has_changed:
            self._digest = None
        return has_changed

    def get(self, server: str, group: str) -> ServerReport | None:
        """Return the newest report of a server of a group, or None."""
        return self._reports.get((server, group))

    def of_server(self, server: str) -> list[ServerReport]:
        """Return the newest report of a server for each group that it was said to be of."""
        return [item for item in self._reports.values() if item.server == server]

    def one_per_server(self, groups: Container[str]) -> list[ServerReport]:
        """Return one report of each server: the newest, of one of `groups` if any is."""

        def rank(report: ServerReport) -> tuple[bool, tuple[int, bool, int], str]:
            return report.group in groups, report.order_key, report.group

        chosen: dict[str, ServerReport] = {}
        for report in self._reports.values():
            known = chosen.get(report.server)
            if known is None or rank(report) > rank(known):
                chosen[report.server] = report
        return list(chosen.values())

    def all(self) -> list[ServerReport]:
        """Return all reports, including those of servers that are gone."""
        return list(self._reports.values())

    def of_group(self, group: str) -> list[ServerReport]:
        """Return the reports of the servers of a group that are not gone."""
        return [
            report
            for report in self._reports.values()
            if report.group == group and report.state is not ServerState.GONE
        ]

    def digest(self) -> int:
        """Return a checksum of the reports that ignores their sequence.

        It is sent with every request of an entry VM, so it is cached until a change.
        """
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> int:
        lines = sorted(
            f"{item.server} {item.group} {item.started_ms} {item.state.value} "
            f"{item.role.value}"
            for item in self._reports.values()
        )
        return zlib.crc32("\n".join(lines).encode())

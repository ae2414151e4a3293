"""Service of a control leader that grants shares of the teams' rate limits."""

import asyncio
from collections.abc import Callable

from cardamomshunt.fleet import (
    FleetState,
    LeaseRequest,
    QuotaGrant,
    QuotaLedger,
    RouteTable,
    StoreShareHolders,
    limits_of,
)

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog


class QuotaService:
    """Keep the ledger of shares while this node leads.

    Only entry VMs in the replicated log get shares, so that the next leader knows which
    of them may have some.
    """

    def __init__(
        self,
        log: DecisionLog,
        term: Callable[[], int],
        state: Callable[[], FleetState],
        table: Callable[[], RouteTable],
    ) -> None:
        self._log = log
        self._term = term
        self._state = state
        self._table = table
        self._ledger: QuotaLedger | None = None
        self._ledger_term = -1
        self._table_version = -1
        self._was_settled = False
        # Entry VMs that asked for shares and are not stored yet.
        self._wanted: set[str] = set()
        self._proposed: set[str] | None = None
        self.is_store_due = asyncio.Event()

    def grant(self, entry: str, request: LeaseRequest) -> QuotaGrant:
        """Return the shares of an entry VM, if any team has a limit."""
        if not request.has_quota_report:
            return QuotaGrant()
        table = self._table()
        if not table.teams.has_limits and self._ledger_term != self._term():
            return QuotaGrant()
        ledger = self._current_ledger()
        if not self._may_hold(entry):
            self._wanted.add(entry)
            self.is_store_due.set()
            return QuotaGrant()
        if self._table_version != table.version:
            self._table_version = table.version
            ledger.set_limits(limits_of(table.teams), boot_ms())
        grant = ledger.on_request(entry, request, boot_ms())
        self._log_settled(ledger)
        return grant

    def _current_ledger(self) -> QuotaLedger:
        if self._ledger is None or self._ledger_term != self._term():
            self._ledger_term = self._term()
            self._table_version = -1
            self._was_settled = False
            self._proposed = None
            self._wanted.clear()
            self._ledger = QuotaLedger(
                self._ledger_term, boot_ms(), self._state().share_holders
            )
        return self._ledger

    def _may_hold(self, entry: str) -> bool:
        """Return whether an entry VM is in the log, and is not being removed."""
        is_kept = self._proposed is None or entry in self._proposed
        return is_kept and entry in self._state().share_holders

    def _log_settled(self, ledger: QuotaLedger) -> None:
        if ledger.is_settled and not self._was_settled:
            self._was_settled = True
            self._log.write(
                "quota_ledger_settled",
                term=self._ledger_term,
                n_holders=len(self._state().share_holders),
                waited_ms=round(ledger.age_ms(boot_ms())),
                n_unreported=ledger.n_unreported,
            )

    def holders_to_store(self) -> StoreShareHolders | None:
        """Return the command that changes the entry VMs that may have shares."""
        if self._ledger is None or self._ledger_term != self._term():
            return None
        stored = set(self._state().share_holders)
        # They asked again before the command that stores them was committed.
        self._wanted -= {entry for entry in self._wanted if self._may_hold(entry)}
        absent = set(self._ledger.absent_holders(stored, boot_ms()))
        wanted = (stored - absent) | self._wanted
        if wanted == stored and self._proposed in (None, stored):
            return None
        self._proposed = wanted
        self._wanted.clear()
        return StoreShareHolders(holders=sorted(wanted))

"""Background work of the quarantines: decisions that are due, reports, and the store's rows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.report_wire import encode_quarantine_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.quarantine.answered_parts import AnsweredParts
    from guavamast.relay.quarantine.evidence import Culprit
    from guavamast.relay.quarantine.guard import CrashGuard
    from guavamast.relay.quarantine.ledger import QuarantineLedger
    from guavamast.relay.quarantine.losses import PendingLosses
    from guavamast.relay.quarantine.rows import QuarantineRows

ROUND_INTERVAL_S: Final = 0.5
"""Seconds between two rounds while anything is suspected or in quarantine."""
COMPLETE_ROUNDS: Final = 2
"""Intervals of a round from one complete report to the next; new facts are repeated in each."""
SENDERS_RANK: Final = 2
"""Rank below which an instance repeats all quarantines: one more than needed, as one may end."""
SAVERS_RANK: Final = 2
"""Rank below which an instance saves evidence: one more than needed, as the first may be killed a
moment before all others, which take it for alive until its heartbeats have expired."""


class QuarantineUpkeep:
    """Decides what is due, reports to other instances, and synchronizes the store's rows.

    It sleeps while nothing is suspected, so quiet hours cost nothing.

    Args:
        ledger: The quarantines of this instance.
        losses: Requests that were lost at endpoints that may have ended.
        guard: Confirms ends.
        rows: The rows in the store.
        answered_parts: Prompts that are answered.
        log: Decision log.
        counters: Metrics.
        send: Sends a datagram to the other instances.
        rank_sender: Returns this instance's rank among those that repeat all quarantines.
        rank_saver: Returns its rank among those that save evidence.
        read_time: The local clock.
    """

    __slots__ = (
        "_answered_parts",
        "_counters",
        "_guard",
        "_ledger",
        "_log",
        "_losses",
        "_rank_saver",
        "_rank_sender",
        "_read_time",
        "_round",
        "_rows",
        "_send",
        "_spared",
        "_woken",
    )

    def __init__(
        self,
        *,
        ledger: QuarantineLedger,
        losses: PendingLosses,
        guard: CrashGuard,
        rows: QuarantineRows,
        answered_parts: AnsweredParts,
        log: DecisionLog,
        counters: Counters,
        send: Callable[[bytes], None],
        rank_sender: Callable[[], int],
        rank_saver: Callable[[], int],
        read_time: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._losses = losses
        self._guard = guard
        self._rows = rows
        self._answered_parts = answered_parts
        self._log = log
        self._counters = counters
        self._send = send
        self._rank_sender = rank_sender
        self._rank_saver = rank_saver
        self._read_time = read_time
        self._woken = asyncio.Event()
        self._round = 0
        self._spared: set[str] = set()
        """Attributes that were spared in the last round."""

    def wake(self) -> None:
        """Start the rounds, after something has changed."""
        self._woken.set()

    async def run(self) -> None:
        """Do a round whenever something is due, until cancelled; read the rows before."""
        while True:
            await self._rows.load()
            if not self._is_busy():
                self._woken.clear()
                await self._woken.wait()
            await self._do_round()
            await self._wait_for_round()

    def publish(self) -> None:
        """Send what is new to the other instances at once."""
        self._publish(complete=False)

    async def _wait_for_round(self) -> None:
        """Wait for the next round, and decide meanwhile as soon as evidence has settled.

        Failure: an attribute is sent for up to half a second after enough ends have settled.
        """
        until = self._read_time() + ROUND_INTERVAL_S
        while True:
            now = self._read_time()
            due_at = self._ledger.find_settling_time(now=now)
            if due_at is None or due_at >= until:
                break
            await asyncio.sleep(due_at - now)
            if self._decide(now=self._read_time()):
                self.publish()
        await asyncio.sleep(until - now)

    def _decide(self, *, now: float) -> bool:
        """Decide what is due; return whether anything is held that wasn't before."""
        decision = self._ledger.decide(now=now, is_common=self._answered_parts.is_common)
        for culprit in decision.held:
            self._record_held(culprit, now=now)
        self._record_spared(decision.spared, now=now)
        return bool(decision.held)

    async def _do_round(self) -> None:
        now = self._read_time()
        self._guard.confirm_replaced()
        self._losses.drop_expired(now=now)
        self._decide(now=now)
        for attribute in self._ledger.drop_expired(now=now):
            self._log.write("quarantine_ended", now=now, attribute=attribute, reason="idle")
        rank = self._rank_sender()
        self._round += 1
        due = self._round % COMPLETE_ROUNDS == 0
        self._publish(complete=due and rank < SENDERS_RANK)
        if rank == 0:
            await self._rows.synchronize()
        else:
            self._rows.forget_rows()
        saver_rank = self._rank_saver()
        if saver_rank < SAVERS_RANK:
            await self._rows.save_evidence(rank=saver_rank)
        else:
            self._rows.forget_evidence()
        self._counters.set("quarantined_attributes", len(self._ledger.list_quarantines()))
        self._counters.set("suspected_attributes", self._ledger.suspect_count)

    def _is_busy(self) -> bool:
        return (
            not self._rows.loaded
            or bool(self._losses)
            or self._ledger.active
            or self._ledger.has_unsent
            or self._rows.has_leftovers
        )

    def _publish(self, *, complete: bool) -> None:
        now = self._read_time()
        report = self._ledger.build_report(complete=complete, now=now)
        if report is None:
            return
        data = encode_quarantine_report(report, now=now)
        if data is None:
            self._log.write("quarantine_unsent", now=now, reason="too long")
            return
        self._send(data)

    def _record_held(self, culprit: Culprit, *, now: float) -> None:
        self._counters.add("quarantines_total")
        self._log.write(
            "quarantined",
            now=now,
            attribute=culprit.attribute,
            who=culprit.organisation,
            endpoints=",".join(culprit.endpoint_ids),
            late_ends=culprit.late_ends,
        )

    def _record_spared(self, attributes: list[str], *, now: float) -> None:
        """Record attributes that are too common to be kept from endpoints, once for each."""
        for attribute in attributes:
            if attribute not in self._spared:
                self._counters.add("quarantine_spared_total")
                ends = self._ledger.count_ends(attribute)
                self._log.write("quarantine_spared", now=now, attribute=attribute, ends=ends)
        self._spared = set(attributes)

"""The quarantines' rows in the store: they survive all instances, and limit the trials."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from guavamast.decoding import MalformedData
from guavamast.relay.quarantine.ledger import TRIAL_AFTER_S
from guavamast.relay.quarantine.records import Quarantine, QuarantineReport
from guavamast.relay.quarantine.report_wire import (
    decode_quarantine_report,
    encode_quarantine_report,
)
from guavamast.relay.store import QuarantineRow, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.quarantine.ledger import QuarantineLedger
    from guavamast.relay.quarantine.records import EndpointEnd
    from guavamast.relay.store import Store

ROW_READ_INTERVAL_S: Final = 5.0
"""Seconds between two reads of the rows while any attribute is in quarantine: an operator's release
takes effect within that time."""
LOAD_INTERVAL_S: Final = 1.0
"""Seconds between two attempts of an instance that starts to read the rows: well below the time in
which instances must know of a decision."""
MIN_SAVE_INTERVAL_S: Final = 0.4
"""Seconds between two writes of the evidence at least: less than a round, as the instances may be
killed before the next one."""
MAX_SAVE_WAIT_S: Final = 0.5
"""Seconds for which a write of the evidence waits for its answer; later evidence waits with it."""
SETTLED_AFTER_S: Final = 2.0
"""Seconds after a change of the evidence from which on the same attributes are to be saved."""
MAX_FIRST_READ_WAIT_S: Final = 1.0
"""Seconds that a request waits at most for the first read at an instance that has just started."""


class QuarantineRows:
    """Reads and writes the rows of attributes in quarantine, and the evidence below a decision.

    Killed all at once, instances forget what they know of each other's losses, and an attribute
    would end as many endpoints once more. The rows outlast that. A trial is granted by a
    conditional write, so however many instances ask for it, one gets it.

    Args:
        store: The platform's store.
        ledger: The quarantines of this instance.
        log: Decision log.
        read_time: The local clock.
    """

    __slots__ = (
        "_first_read",
        "_ledger",
        "_load_due_at",
        "_log",
        "_read_at",
        "_read_time",
        "_compared_at",
        "_revised_at",
        "_revision",
        "_saved",
        "_saved_at",
        "_saver_rank",
        "_store",
        "_written",
        "loaded",
    )

    def __init__(
        self,
        *,
        store: Store,
        ledger: QuarantineLedger,
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._log = log
        self._read_time = read_time
        self._first_read = asyncio.Event()
        self._written: set[str] = set()
        """Contents whose rows are known to exist."""
        self._saved: frozenset[EndpointEnd] | None = None
        """Evidence that is known to be saved; None if it isn't known what is."""
        self._saved_at = float("-inf")
        self._saver_rank = 0
        """Rank among the instances that save evidence, when this one last did."""
        self._compared_at = float("-inf")
        self._revised_at = float("-inf")
        self._revision = 0
        """Number of changes of the evidence when it was last compared with what is saved."""
        self._read_at = float("-inf")
        self._load_due_at = float("-inf")
        self.loaded = False
        """Whether the rows have been read since the start of the instance."""

    @property
    def has_leftovers(self) -> bool:
        """Whether rows remain of attributes that are no longer in quarantine or suspected."""
        return bool(self._saved) or any(
            self._ledger.find(attribute) is None for attribute in self._written
        )

    def forget_rows(self) -> None:
        """Leave the rows to the instance that synchronizes them."""
        self._written.clear()

    def forget_evidence(self) -> None:
        """Leave the evidence to the instances that save it."""
        self._saved = None
        self._compared_at = float("-inf")

    async def wait_first_read(self) -> None:
        """Wait for the first read after the start, so that no attribute in quarantine is sent."""
        if self._first_read.is_set():
            return
        try:
            async with asyncio.timeout(MAX_FIRST_READ_WAIT_S):
                await self._first_read.wait()
        except TimeoutError:
            # The store is away; other instances' reports name what is in quarantine.
            self._log.write("quarantine_unread", now=self._read_time(), reason="timeout")

    async def load(self) -> None:
        """Read the rows after the start of the instance, if the last failure is long enough ago.

        An instance that starts while the store is away would otherwise never learn what is held.
        """
        now = self._read_time()
        if self.loaded or now < self._load_due_at:
            return
        self._load_due_at = now + LOAD_INTERVAL_S
        try:
            await self._read()
            self._apply_evidence(await self._store.read_evidence())
            self.loaded = True
        except StoreError as error:
            self._log.write("quarantine_unread", now=self._read_time(), reason=error.reason)
        finally:
            self._first_read.set()

    async def synchronize(self) -> None:
        """Write what is missing, and apply what operators have released.

        One instance of the fleet does this, so that a quarantine costs one write.
        """
        now = self._read_time()
        held = {quarantine.attribute for quarantine in self._ledger.list_quarantines()}
        if held <= self._written and now - self._read_at < ROW_READ_INTERVAL_S:
            return
        try:
            rows = await self._read()
            for quarantine in self._ledger.list_quarantines():
                if quarantine.attribute not in self._written:
                    await self._store.write_quarantine(_build_row(quarantine))
                    self._written.add(quarantine.attribute)
            for row in rows:
                if self._ledger.find(row.attribute) is None:
                    await self._remove(row.attribute)
        except StoreError as error:
            self._log.write("quarantine_unread", now=self._read_time(), reason=error.reason)

    async def claim_trial(self, attribute: str) -> bool:
        """Return whether this instance may send an attribute once, for all instances together."""
        try:
            rows = {row.attribute: row for row in await self._read()}
            quarantine = self._ledger.find(attribute)
            if quarantine is None:
                return True
            row = rows.get(attribute) or _build_row(quarantine)
            if row.trials_left <= 0 or row.trials_left < quarantine.trials_left:
                self._use_trial(attribute, trials_left=row.trials_left)
                return False
            claimed = replace(row, trials_left=row.trials_left - 1)
            if not await self._store.write_quarantine(claimed):
                return False
        except StoreError as error:
            self._log.write("quarantine_unread", now=self._read_time(), reason=error.reason)
            return False
        self._use_trial(attribute, trials_left=claimed.trials_left)
        return True

    async def save_evidence(self, *, rank: int) -> None:
        """Save the evidence if it has changed, for instances that start.

        Two instances of the fleet do this, with the same evidence a moment later: what both have
        merged. A store that is away or loses its answers would hold
        up what is known a moment later, and all rounds, for seconds: a further write is made then.
        """
        if not self.loaded:
            # Failure: evidence that the store didn't give at the start is removed unread.
            return
        if rank != self._saver_rank:
            self._saver_rank = rank
            self.forget_evidence()
        now = self._read_time()
        if self._ledger.evidence_revision != self._revision:
            self._revision = self._ledger.evidence_revision
            self._revised_at = now
        if self._compared_at > self._revised_at + SETTLED_AFTER_S:
            return
        ends = self._ledger.list_lasting_ends(now=now)
        evidence = frozenset(ends)
        if evidence == self._saved:
            self._compared_at = now
        if evidence == self._saved or now - self._saved_at < MIN_SAVE_INTERVAL_S:
            return
        self._saved_at = now
        try:
            async with asyncio.timeout(MAX_SAVE_WAIT_S):
                await self._store.write_evidence(_encode_evidence(ends, now=now), rank=rank)
        except (StoreError, TimeoutError) as error:
            reason = error.reason if isinstance(error, StoreError) else "timeout"
            self._log.write("quarantine_unread", now=self._read_time(), reason=reason)
            return
        self._saved = evidence

    async def _read(self) -> list[QuarantineRow]:
        rows = await self._store.read_quarantine()
        now = self._read_time()
        self._read_at = now
        self._written = {row.attribute for row in rows}
        for row in rows:
            if row.lifted_by is not None:
                self._release(row, now=now)
            else:
                self._restore(row, now=now)
        return rows

    def _apply_evidence(self, saved: list[bytes]) -> None:
        """Merge saved evidence. Its ends seem later by the time since it was saved."""
        now = self._read_time()
        ends: list[EndpointEnd] = []
        for data in saved:
            try:
                ends += decode_quarantine_report(data, now=now).ends
            except MalformedData as error:
                # Another software version may save it in another form.
                self._log.write("quarantine_unread", now=now, reason=str(error))
                self._saved = None
                return
        self._ledger.restore_ends(ends)
        self._saved = frozenset(ends)

    def _release(self, row: QuarantineRow, *, now: float) -> None:
        if self._ledger.clear(row.attribute, now=now):
            self._log.write(
                "quarantine_ended",
                now=now,
                attribute=row.attribute,
                reason="lifted",
                who=row.lifted_by,
            )

    def _restore(self, row: QuarantineRow, *, now: float) -> None:
        known = self._ledger.find(row.attribute) is not None
        # The row of an attribute that was just answered remains until the next synchronization.
        if known or self._ledger.was_cleared(row.attribute):
            return
        quarantine = Quarantine(
            attribute=row.attribute,
            organisation=row.organisation,
            ends=row.ends,
            since=now,
            requested_at=now,
            trials_left=row.trials_left,
            next_trial_at=now + TRIAL_AFTER_S,
        )
        self._ledger.restore(quarantine)

    async def _remove(self, attribute: str) -> None:
        await self._store.remove_quarantine(attribute)
        self._written.discard(attribute)

    def _use_trial(self, attribute: str, *, trials_left: int) -> None:
        self._ledger.use_trial(attribute, trials_left=trials_left, now=self._read_time())


def _encode_evidence(ends: list[EndpointEnd], *, now: float) -> bytes | None:
    if not ends:
        return None
    report = QuarantineReport(domain="", ends=tuple(ends), clearances=(), quarantines=())
    return encode_quarantine_report(report, now=now)


def _build_row(quarantine: Quarantine) -> QuarantineRow:
    return QuarantineRow(
        attribute=quarantine.attribute,
        version=0,
        organisation=quarantine.organisation,
        ends=quarantine.ends,
        trials_left=quarantine.trials_left,
    )

"""Decides when this instance performs the duties: while it holds their lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.platform_client import PlatformAnswerLost, PlatformError
from guavamast.relay.duties.candidacy import NOTICE_INTERVAL_S, rank_candidates
from guavamast.relay.duties.reports import DutyNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeaseHolder
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.duties.candidacy import Candidacy
    from guavamast.relay.duties.collection import ReportCollection
    from guavamast.relay.duties.tenure import Tenure
    from guavamast.relay.duties.tenure_factory import TenureFactory
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.store import InstanceRecord

RESOURCE: Final = "duties"
"""Name of the lease."""
STEP_INTERVAL_S: Final = 0.25
"""Seconds between two steps of an instance."""
RETRY_INTERVAL_S: Final = 0.5
"""Seconds between two tries to acquire the lease."""
STAND_BACK_S: Final = 2.0
"""Seconds for which an instance leaves the duties to others after its calls have failed."""


class DutyHolder:
    """Acquires the lease of the duties, and makes the calls that are due while it holds it.

    Args:
        record: This instance.
        lease: Acquires the lease.
        fenced: Whether the provider rejects calls with an older fencing number.
        candidacy: Decides whether this instance is to hold the duties.
        collection: The reports of all instances.
        tenures: Begins what performs the duties, by the records that were read under the lease.
        fleet_state: The other instances.
        broadcast: Sends a notice to all instances.
        locate: Returns the store time of a local time; None before the store has answered.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
    """

    __slots__ = (
        "_acquire_at",
        "_broadcast",
        "_candidacy",
        "_collection",
        "_counters",
        "_fenced",
        "_fleet_state",
        "_lease",
        "_leaving",
        "_locate",
        "_log",
        "_notice_at",
        "_read_time",
        "_record",
        "_tenure",
        "_tenures",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        lease: LeaseHolder,
        fenced: bool,
        candidacy: Candidacy,
        collection: ReportCollection,
        tenures: TenureFactory,
        fleet_state: FleetState,
        broadcast: Callable[[DutyNotice], None],
        locate: Callable[[float], float | None],
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._record = record
        self._lease = lease
        self._fenced = fenced
        self._candidacy = candidacy
        self._collection = collection
        self._tenures = tenures
        self._fleet_state = fleet_state
        self._broadcast = broadcast
        self._locate = locate
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._acquire_at = float("-inf")
        self._notice_at = float("-inf")
        self._tenure: Tenure | None = None
        """None unless this instance performs the duties."""
        self._leaving = False

    async def run(self) -> None:
        """Take steps until cancelled."""
        while not self._leaving:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.take_guarded_step()

    async def leave(self) -> None:
        """Hand the duties over as this instance leaves."""
        self._leaving = True
        self._tenure = None
        held = self._lease.find(RESOURCE)
        if held is None:
            return
        await self._lease.release(RESOURCE)
        self._log.write("duties_released", now=self._read_time(), fencing=held.fencing)

    async def take_guarded_step(self) -> None:
        """Take a step; after any failure of it the duties are left to others.

        What failed may have been carried out nevertheless, or in part. So the tenure ends, and the
        next one, here or elsewhere, begins with what the records say.
        """
        try:
            await self._take_step()
        except (PlatformError, PlatformAnswerLost) as error:
            self._stand_back(str(error))
        except Exception as error:  # noqa: BLE001
            # Records that another software version wrote, for example.
            self._stand_back(f"{type(error).__name__}: {error}")

    async def _take_step(self) -> None:
        """Acquire the lease if this instance is to hold it, and make the calls that are due."""
        now = self._read_time()
        self._collection.forget_old(now=now)
        if not self._may_hold(now=now):
            return
        if self._tenure is None:
            self._tenure = await self._acquire(now=now)
        if self._tenure is None:
            return
        await self._perform(self._tenure)
        self._send_notice(now=self._read_time())

    def _stand_back(self, reason: str) -> None:
        """Leave the duties to other instances for a while, as they can't be performed here."""
        now = self._read_time()
        self._end_tenure()
        self._counters.add("duty_lease_failures_total")
        self._log.write("duties_unleased", now=now, reason=reason)
        self._candidacy.stand_back(until=now + STAND_BACK_S)

    def _may_hold(self, *, now: float) -> bool:
        """Return whether to go on; a lease that another instance has acquired is forgotten."""
        tenure = self._tenure
        if tenure is not None and self._candidacy.is_replaced(fencing=tenure.fencing):
            self._end_tenure()
            self._log.write("duties_lost", now=now, fencing=tenure.fencing)
        holds = self._tenure is not None
        if not holds and self._candidacy.find_holder(now=now) is not None:
            return False
        peers = self._fleet_state.peers
        live = [peer.record for peer in peers.list_live(now=now)]
        names = [one.name for one in rank_candidates([self._record, *live])]
        visible = self._collection.count_fresh(now=now)
        return self._candidacy.may_hold(
            names, held=holds, visible=visible, known=peers.count_known(), now=now
        )

    async def _acquire(self, *, now: float) -> Tenure | None:
        """Acquire the lease and begin a tenure by its records; None if the lease isn't free.

        Nothing can be performed without a tenure. So an acquisition that fails anywhere, its read
        of the records included, leaves nothing behind but a lease that expires.
        """
        if now < self._acquire_at:
            return None
        self._acquire_at = now + RETRY_INTERVAL_S
        held = await self._lease.acquire(RESOURCE, fenced=self._fenced)
        if held is None:
            return None
        leased = await self._lease.read_records(held)
        now = self._read_time()
        tenure = self._tenures.begin(leased, now=now)
        self._counters.add("duty_acquisitions_total")
        self._log.write(
            "duties_acquired", now=now, fencing=tenure.fencing, records=len(leased.records)
        )
        return tenure

    async def _perform(self, tenure: Tenure) -> None:
        """Perform what is due, and end a tenure that can't be continued."""
        instances = 1 + len(self._fleet_state.peers.list_live(now=self._read_time()))
        await tenure.perform(store_time=self._locate(self._read_time()), instances=instances)
        now = self._read_time()
        if self._leaving:
            return
        if not tenure.is_current:
            self._end_tenure()
            self._log.write("duties_lost", now=now, fencing=tenure.fencing)
        elif tenure.is_unanswered(now=now):
            self._end_tenure()
            self._candidacy.stand_back(until=now + STAND_BACK_S)
            self._log.write("duties_handed_over", now=now, reason="the provider does not answer")

    def _end_tenure(self) -> None:
        """Forget the lease and all that was known under it, as another instance may act now."""
        self._tenure = None
        self._lease.forget(RESOURCE)

    def _send_notice(self, *, now: float) -> None:
        tenure = self._tenure
        if tenure is None or now < self._notice_at:
            return
        self._notice_at = now + NOTICE_INTERVAL_S
        notice = DutyNotice(
            holder=self._record.name,
            fencing=tenure.fencing,
            clock_offset_s=tenure.clock_offset_s,
            fixed_through=tenure.fixed_through,
        )
        self._broadcast(notice)

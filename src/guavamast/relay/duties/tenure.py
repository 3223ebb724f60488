"""The duties as they may be performed from one acquisition of their lease until its loss."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.provider import CallAuthority, CallOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import HeldLease, LeaseHolder
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.duties.usage_duty import UsageDuty
    from guavamast.relay.provider import EngineOrder, Provider, WindowUsage
    from guavamast.relay.scaling import EngineScaling

MAX_UNANSWERED_S: Final = 2.5
"""Seconds without any answer of the provider after which the duties are handed over."""


class Tenure:
    """Performs the duties by the records that were read under one acquisition of their lease.

    An instance that held the lease before remembers windows and orders of that time. Others have
    held it since, and what such an instance sent by its memory would contradict what they sent: a
    window reported twice, with other counts. So what is remembered belongs to the tenure, which
    begins with the records and ends with the lease.

    Args:
        lease: Renews the lease.
        held: The lease under which the records were read.
        fenced: Whether the provider rejects calls with an older fencing number.
        usage: Decides on the usage to report, by the records; None if usage is not reported.
        scaling: Decides on the engines to order, by the records; None if they are not ordered.
        provider: Receives the calls.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
    """

    __slots__ = (
        "_counters",
        "_fenced",
        "_held",
        "_lease",
        "_log",
        "_provider",
        "_read_time",
        "_scaling",
        "_unanswered_since",
        "_usage",
    )

    def __init__(
        self,
        *,
        lease: LeaseHolder,
        held: HeldLease,
        fenced: bool,
        usage: UsageDuty | None,
        scaling: EngineScaling | None,
        provider: Provider,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._held = held
        self._fenced = fenced
        self._usage = usage
        self._scaling = scaling
        self._provider = provider
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._unanswered_since: float | None = None

    @property
    def fencing(self) -> int:
        """The present fencing number."""
        return self._held.fencing

    @property
    def is_current(self) -> bool:
        """Whether the lease has not been lost, acquired anew or forgotten, as far as is known."""
        return self._lease.find(self._held.resource) is self._held

    @property
    def clock_offset_s(self) -> float | None:
        """Offset of Unix time from the store's clock in seconds; None before it is agreed."""
        return self._usage.ledger.offset_s if self._usage is not None else None

    @property
    def fixed_through(self) -> int:
        """The last window whose counts are fixed; -1 if there is none."""
        return self._usage.ledger.fixed_through if self._usage is not None else -1

    def is_unanswered(self, *, now: float) -> bool:
        """Return whether the provider has answered no call from here for long."""
        since = self._unanswered_since
        return since is not None and now - since > MAX_UNANSWERED_S

    async def perform(self, *, store_time: float | None, instances: int) -> None:
        """Fix what is due, write it with the lease, and make the calls.

        Args:
            store_time: The present time on the store's clock; None before it is known.
            instances: Number of known instances.

        Raises:
            PlatformError: The store is down; nothing was sent.
        """
        now = self._read_time()
        self._fix_usage(store_time=store_time, instances=instances, now=now)
        orders = self._scaling.place_orders(now=now) if self._scaling is not None else []
        usages = self._usage.ledger.list_due(now=now) if self._usage is not None else []
        if not (orders or usages or self._has_to_write(now=now)):
            return
        if not await self._renew():
            return
        held = self._held
        if self._usage is not None:
            usages = self._usage.ledger.list_due(now=self._read_time())
        await asyncio.gather(
            *(self._order_all(subject, held) for subject in group_by_subject(orders)),
            self._report_all(usages, held),
        )

    def _has_to_write(self, *, now: float) -> bool:
        """Return whether the lease is to be renewed for what it keeps, though nothing is sent."""
        if self._usage is None:
            return False
        return self._usage.ledger.has_changes or self._usage.is_save_due(now=now)

    def _fix_usage(self, *, store_time: float | None, instances: int, now: float) -> None:
        if self._usage is None or store_time is None:
            return
        fixed = self._usage.fix_windows(store_time=store_time, instances=instances, now=now)
        for usage in fixed:
            self._log.write(
                "usage_fixed",
                now=now,
                window=usage.window,
                organisations=len(usage.counts),
                requests=sum(usage.counts.values()),
                reporting=self._usage.count_reporting(now=now),
            )

    async def _renew(self) -> bool:
        """Extend the lease and write what has to last; return whether anything may be sent.

        Where the provider checks fencing numbers, each step has its own. A call without an answer
        may be carried out after later ones; its number is lower then, and it is rejected.
        """
        records = []
        if self._usage is not None:
            self._usage.save(now=self._read_time())
            records += self._usage.ledger.build_records()
        if self._scaling is not None:
            records += self._scaling.orders.build_records()
        held = await self._lease.renew(self._held, records=records, advance=self._fenced)
        if held is None:
            return False
        self._held = held
        if self._usage is not None:
            self._usage.ledger.record_written()
        if self._scaling is not None:
            self._scaling.orders.record_written()
        return True

    def _build_authority(self, held: HeldLease) -> CallAuthority:
        return CallAuthority(
            fencing=held.fencing,
            may_send=lambda: self._lease.get_valid(held.resource) is held,
        )

    async def _report_all(self, usages: list[WindowUsage], held: HeldLease) -> None:
        """Report windows one after the other, as all are one subject of fencing.

        After a call without an answer, none follows with the same fencing number.
        """
        authority = self._build_authority(held)
        for usage in usages:
            outcome = await self._provider.report_usage(usage, authority)
            now = self._read_time()
            self._record_call("usage", outcome, now=now)
            self._log.write(
                "usage_reported",
                now=now,
                window=usage.window,
                requests=sum(usage.counts.values()),
                fencing=held.fencing,
                outcome=str(outcome),
            )
            assert self._usage is not None
            self._usage.ledger.record_outcome(usage.window, outcome, now=now)
            if outcome is not CallOutcome.DONE:
                return

    async def _order_all(self, orders: list[EngineOrder], held: HeldLease) -> None:
        """Give the orders of one subject of fencing one after the other.

        After a call without an answer, none follows with the same fencing number.
        """
        authority = self._build_authority(held)
        for order in orders:
            outcome = await self._order(order, authority)
            if outcome is CallOutcome.UNKNOWN:
                return

    async def _order(self, order: EngineOrder, authority: CallAuthority) -> CallOutcome:
        assert self._scaling is not None
        outcome = await self._provider.order_engines(order, authority)
        now = self._read_time()
        self._record_call("scale", outcome, now=now)
        self._log.write(
            "engines_ordered",
            now=now,
            service=order.group.service,
            domain=order.group.failure_domain,
            reclaimable=order.group.reclaimable,
            engines=order.engines,
            reason=self._scaling.explain(order.group),
            fencing=authority.fencing,
            outcome=str(outcome),
        )
        self._scaling.orders.record_outcome(order, outcome, now=now)
        return outcome

    def _record_call(self, duty: str, outcome: CallOutcome, *, now: float) -> None:
        self._counters.add(f'provider_calls_total{{duty="{duty}",outcome="{outcome}"}}')
        if outcome not in (CallOutcome.UNKNOWN, CallOutcome.NOT_SENT):
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now


def group_by_subject(orders: list[EngineOrder]) -> list[list[EngineOrder]]:
    """Return the orders by service and failure domain, in which fencing numbers are compared."""
    subjects: dict[tuple[str, str], list[EngineOrder]] = {}
    for order in orders:
        key = (order.group.service, order.group.failure_domain)
        subjects.setdefault(key, []).append(order)
    return list(subjects.values())

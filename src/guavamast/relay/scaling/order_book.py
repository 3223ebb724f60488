"""The orders for engines that were given, and which further ones are due."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from guavamast.decoding import Decoding, decode_json
from guavamast.leases import LeaseRecord
from guavamast.relay.provider import CallOutcome, EngineGroup, EngineOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.catalog import ScalingSettings
    from guavamast.relay.scaling.policy import GroupState

ORDERS_KEY: Final = "orders"
"""Key of the record with the last order for each group."""
FIRST_RETRY_S: Final = 0.5
"""Seconds until a rejected or unanswered order is repeated; doubled after each further one."""
MAX_RETRY_S: Final = 4.0
"""Seconds between two repeats of an order at most."""


class OrderBook:
    """Keeps what the present holder of the duties knows of the orders.

    Nothing can be read back from the provider. So an order is written under the lease before it is
    sent, and the next holder knows from the record what may have been ordered.
    """

    __slots__ = (
        "_conflicts",
        "_failures",
        "_open",
        "_ordered",
        "_possible",
        "_retry_at",
        "_unwritten",
    )

    def __init__(self) -> None:
        self._ordered: dict[EngineGroup, int] = {}
        self._open: set[EngineGroup] = set()
        """Groups whose last order is not known to be carried out."""
        self._unwritten = False
        self._retry_at: dict[EngineGroup, float] = {}
        self._failures: dict[EngineGroup, int] = {}
        self._conflicts: set[EngineGroup] = set()
        self._possible: dict[EngineGroup, list[int]] = {}
        """Orders of each group of which one is in force: the last that was answered, and later."""

    @property
    def has_changes(self) -> bool:
        """Whether there is something that has to be written before anything is sent."""
        return self._unwritten

    def load(self, records: Iterable[LeaseRecord]) -> None:
        """Replace all state by the records of the lease.

        Raises:
            MalformedData: A record can't be decoded.
        """
        self._ordered = {}
        self._open = set()
        self._conflicts = set()
        self._unwritten = False
        for record in records:
            if record.key == ORDERS_KEY and record.text is not None:
                self._ordered = _decode_orders(record.text)
        # The last holder may have ended before its last orders were answered.
        self._open.update(self._ordered)
        self._possible = {group: [engines] for group, engines in self._ordered.items()}

    def find_order(self, group: EngineGroup) -> int | None:
        """Return the last order for a group; None if there was none."""
        return self._ordered.get(group)

    def is_available(self, group: EngineGroup) -> bool:
        """Return whether the last order for a group was not rejected for want of engines."""
        return group not in self._conflicts

    def place(
        self,
        wanted: Iterable[EngineOrder],
        states: Iterable[GroupState],
        settings: ScalingSettings,
        *,
        now: float,
    ) -> list[EngineOrder]:
        """Record the orders that are due, within the bounds of each failure domain.

        Args:
            wanted: The number of engines that each group is to have.
            states: All groups of the service.
            settings: Bounds for both kinds of engines of a failure domain together.
            now: The present time.

        Returns:
            The orders to be sent once they are written.
        """
        present = {state.group: state.ready for state in states}
        due = []
        for order in wanted:
            engines = self._bound(order, present, settings)
            known = self._ordered.get(order.group)
            if known is None and engines == present.get(order.group, 0):
                continue
            if engines == known and order.group not in self._open:
                continue
            if self._retry_at.get(order.group, 0.0) > now:
                continue
            if engines != known:
                self._ordered[order.group] = engines
                self._unwritten = True
            self._open.add(order.group)
            self._conflicts.discard(order.group)
            self._possible.setdefault(order.group, []).append(engines)
            due.append(EngineOrder(group=order.group, engines=engines))
        return due

    def reopen(self, group: EngineGroup) -> None:
        """Repeat the last order for a group, as its engines are missing."""
        self._open.add(group)

    def build_records(self) -> list[LeaseRecord]:
        """Return the records that are to be written."""
        return self.build_all() if self._unwritten else []

    def build_all(self) -> list[LeaseRecord]:
        """Return the records of all orders."""
        rows = [
            [group.service, group.failure_domain, group.reclaimable, engines]
            for group, engines in self._ordered.items()
        ]
        return [LeaseRecord(key=ORDERS_KEY, text=json.dumps(rows))]

    def record_written(self) -> None:
        """Record that all of `build_records` is written."""
        self._unwritten = False

    def record_outcome(self, order: EngineOrder, outcome: CallOutcome, *, now: float) -> None:
        """Record what became of an order."""
        group = order.group
        if outcome is CallOutcome.CONFLICT:
            # Each order has a greater fencing number than all before, so none were to be had.
            self._conflicts.add(group)
            self._possible[group] = []
        if outcome is CallOutcome.DONE:
            self._open.discard(group)
            self._possible[group] = [order.engines]
            self._failures.pop(group, None)
            self._retry_at.pop(group, None)
            return
        failures = self._failures.get(group, 0)
        self._retry_at[group] = now + min(MAX_RETRY_S, FIRST_RETRY_S * 2**failures)
        self._failures[group] = failures + 1

    def _bound(
        self, order: EngineOrder, present: dict[EngineGroup, int], settings: ScalingSettings
    ) -> int:
        """Return the number of engines that may be ordered beside those of the other kind.

        The other kind counts with all that it may have, and with no more than it surely has: its
        last order may be carried out or not.
        """
        group = order.group
        other = EngineGroup(
            service=group.service,
            failure_domain=group.failure_domain,
            reclaimable=not group.reclaimable,
        )
        counts = [present.get(other, 0), *self._possible.get(other, ())]
        most = max(0, settings.max_engines - max(counts))
        least = max(0, settings.min_engines - min(counts))
        return min(most, max(least, order.engines))


def _decode_orders(text: str) -> dict[EngineGroup, int]:
    ordered = {}
    with Decoding("orders of engines"):
        for service, domain, reclaimable, engines in decode_json(text):
            group = EngineGroup(
                service=str(service), failure_domain=str(domain), reclaimable=bool(reclaimable)
            )
            ordered[group] = int(engines)
    return ordered

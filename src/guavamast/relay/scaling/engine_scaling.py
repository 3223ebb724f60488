"""Decides on the orders for engines at the instance that holds the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.provider import EngineGroup
from guavamast.relay.scaling.control import ScalingControl, find_control
from guavamast.relay.scaling.demand import ServiceDemand
from guavamast.relay.scaling.policy import GroupState, ScalingView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.leases import LeaseRecord
    from guavamast.relay.catalog import ServiceSettings
    from guavamast.relay.duties.collection import ReportCollection
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.placement import EngineProfiles
    from guavamast.relay.provider import EngineOrder
    from guavamast.relay.scaling.order_book import OrderBook
    from guavamast.relay.scaling.policy import ScalingPolicy

MAX_TABLE_AGE_S: Final = 2.5
"""Seconds of age of the endpoint table above which engines stay as they are."""
MISSING_MARGIN_S: Final = 3.0
"""Seconds beyond the start of an engine after which one that isn't listed is ordered again."""


class EngineScaling:
    """Applies a policy to all services whose engines can be ordered.

    Args:
        fleet_state: Configuration and endpoints.
        collection: Demand as all instances report it.
        orders: The orders so far.
        profiles: Speeds of the engines.
        build_policy: Builds the policy of one service.
    """

    __slots__ = (
        "_build_policy",
        "_collection",
        "_complete_at",
        "_control",
        "_fleet_state",
        "_policies",
        "_profiles",
        "orders",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        collection: ReportCollection,
        orders: OrderBook,
        profiles: EngineProfiles,
        build_policy: Callable[[], ScalingPolicy],
    ) -> None:
        self._fleet_state = fleet_state
        self._collection = collection
        self._profiles = profiles
        self._build_policy = build_policy
        self._policies: dict[str, ScalingPolicy] = {}
        self._complete_at: dict[EngineGroup, float] = {}
        """Local time at which each group last had the engines that were ordered for it."""
        self._control = ScalingControl()
        self.orders = orders

    def load(self, records: Iterable[LeaseRecord]) -> None:
        """Replace the orders, and what operators have set, by the records of the lease.

        Raises:
            MalformedData: A record can't be decoded.
        """
        records = list(records)
        self.orders.load(records)
        self._control = find_control(records)
        # Another instance may have ordered meanwhile, by a load that isn't known here.
        self._policies.clear()

    def place_orders(self, *, now: float) -> list[EngineOrder]:
        """Return the orders that are to be given once they are written."""
        catalog = self._fleet_state.catalog
        if self._control.paused or catalog is None:
            return []
        if self._fleet_state.compute_endpoints_age(now=now) > MAX_TABLE_AGE_S:
            return []
        placed = []
        for service in catalog.services.values():
            if service.scaling is not None:
                placed += self._place_for(service, now=now)
        return placed

    def explain(self, group: EngineGroup) -> str:
        """Return why the last number of engines of a group was chosen."""
        policy = self._policies.get(group.service)
        return policy.explain(group) if policy is not None else ""

    def _place_for(self, service: ServiceSettings, *, now: float) -> list[EngineOrder]:
        settings = service.scaling
        assert settings is not None
        view = self._build_view(service, now=now)
        policy = self._policies.get(service.name)
        if policy is None:
            policy = self._policies[service.name] = self._build_policy()
        wanted = policy.decide(view, now=now)
        self._reopen_missing(view, now=now)
        return self.orders.place(wanted, view.groups, settings, now=now)

    def _build_view(self, service: ServiceSettings, *, now: float) -> ScalingView:
        assert service.scaling is not None
        records = [
            one for one in self._fleet_state.endpoints.list_all() if one.service == service.name
        ]
        domains = set(service.scaling.domain_prices)
        domains.update(one.failure_domain for one in records)
        groups = []
        for domain in sorted(domains):
            for reclaimable in (False, True):
                group = EngineGroup(
                    service=service.name, failure_domain=domain, reclaimable=reclaimable
                )
                own = [
                    one
                    for one in records
                    if one.failure_domain == domain and one.reclaimable is reclaimable
                ]
                ready = sum(one.ready for one in own)
                state = GroupState(
                    group=group,
                    ready=ready,
                    leaving=len(own) - ready,
                    ordered=self.orders.find_order(group),
                    available=self.orders.is_available(group),
                )
                groups.append(state)
        return ScalingView(
            service=service.name,
            settings=service.scaling,
            groups=tuple(groups),
            demand=self._collection.demand.get(service.name, ServiceDemand()),
            profile=self._profiles.find(service.name, now=now),
            floor=self._control.floor,
            slots=max((one.slots for one in records), default=1),
        )

    def _reopen_missing(self, view: ScalingView, *, now: float) -> None:
        """Repeat orders whose engines are missing for longer than they take to start."""
        for state in view.groups:
            if state.ordered is None or state.ready >= state.ordered:
                self._complete_at[state.group] = now
                continue
            since = self._complete_at.setdefault(state.group, now)
            if now - since > view.settings.start_s + MISSING_MARGIN_S:
                self._complete_at[state.group] = now
                self.orders.reopen(state.group)

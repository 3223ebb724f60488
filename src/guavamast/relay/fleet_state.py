"""An instance's view of the fleet, and how fresh it is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.relay.endpoint_table import EndpointTable
from guavamast.relay.freshness import Freshness, FreshnessStamp, round_age

if TYPE_CHECKING:
    from guavamast.relay.catalog import Catalog, Route, ServiceSettings
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundedAges:
    """Ages of the configuration and the endpoint table, rounded for logs and metrics."""

    config_s: float
    endpoints_s: float


class FleetState:
    """Configuration, endpoints and other instances, with the freshness stamps of the tables.

    Args:
        failure_domain: Failure domain of this instance.
        peers: The other instances.
        clock: Maps store time to local time.
    """

    __slots__ = (
        "_catalog_freshness",
        "_endpoint_freshness",
        "_endpoints_read_at",
        "_received_catalog_stamp",
        "_received_endpoint_stamp",
        "catalog",
        "endpoints",
        "failure_domain",
        "newer_catalog_known",
        "newer_endpoints_known",
        "peers",
    )

    def __init__(self, *, failure_domain: str, peers: Peers, clock: StoreClock) -> None:
        self.failure_domain = failure_domain
        self.peers = peers
        self.catalog: Catalog | None = None
        """The configuration that this instance applies."""
        self.endpoints = EndpointTable()
        self.newer_catalog_known = False
        """Whether another instance has a newer configuration."""
        self.newer_endpoints_known = False
        """Whether another instance has a later endpoint table that differs."""
        self._catalog_freshness = Freshness(clock=clock)
        self._endpoint_freshness = Freshness(clock=clock)
        self._endpoints_read_at = float("-inf")
        self._received_catalog_stamp: FreshnessStamp | None = None
        self._received_endpoint_stamp: FreshnessStamp | None = None

    @property
    def catalog_version(self) -> int | None:
        """The operators' version number of the current configuration."""
        return self.catalog.version if self.catalog else None

    @property
    def catalog_stamp(self) -> FreshnessStamp | None:
        """The newest freshness stamp of the current configuration."""
        return self._catalog_freshness.stamp

    @property
    def endpoint_stamp(self) -> FreshnessStamp | None:
        """The newest freshness stamp of the current endpoint table."""
        return self._endpoint_freshness.stamp

    @property
    def newest_catalog_stamp(self) -> FreshnessStamp | None:
        """The newest freshness stamp of any configuration, current here or at another instance."""
        return _pick_newer(self._received_catalog_stamp, self.catalog_stamp)

    @property
    def newest_endpoint_stamp(self) -> FreshnessStamp | None:
        """The newest freshness stamp of any endpoint table, current here or at another instance."""
        return _pick_newer(self._received_endpoint_stamp, self.endpoint_stamp)

    @property
    def must_relist(self) -> bool:
        """Whether unlisted endpoints are still in use after the time to register again is over."""
        return self.endpoints.has_lapsed and not self._endpoint_freshness.is_recovering()

    def compute_catalog_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the configuration was the store's newest."""
        return self._catalog_freshness.compute_age(now=now)

    def compute_endpoints_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the endpoint table was the store's newest."""
        return self._endpoint_freshness.compute_age(now=now)

    def find_endpoints_known_until(self, *, now: float) -> float:
        """Return a local time at which the endpoint table was the store's newest.

        The store's clock is mapped to the local one with some milliseconds to spare; the start of
        an own read is exact.
        """
        return max(self._endpoints_read_at, now - self.compute_endpoints_age(now=now))

    def round_ages(self, *, now: float) -> RoundedAges:
        """Return both ages, rounded for logs and metrics."""
        return RoundedAges(
            config_s=round_age(self.compute_catalog_age(now=now)),
            endpoints_s=round_age(self.compute_endpoints_age(now=now)),
        )

    def count_instances(self) -> int:
        """Return the number of instances that may be running."""
        return self.peers.count_known()

    def find_service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service."""
        return self.catalog.services.get(name) if self.catalog else None

    def find_kv_capacity_tokens(self, service_name: str) -> int:
        """Return the KV cache capacity of a service's engines in tokens; 0 if it runs no model."""
        service = self.find_service(service_name)
        return (service.kv_capacity_tokens or 0) if service is not None else 0

    def find_shortest_objective(self, service_name: str) -> float:
        """Return the shortest latency objective, in seconds, of the streams of a service."""
        return self.catalog.find_shortest_objective(service_name) if self.catalog else float("inf")

    def is_most_urgent(self, route: Route, service_name: str) -> bool:
        """Return whether no stream of a service is more urgent than those of a route."""
        return self.catalog is not None and self.catalog.is_most_urgent(route, service_name)

    def is_least_urgent(self, route: Route, service_name: str) -> bool:
        """Return whether no stream of a service is less urgent than those of a route."""
        return self.catalog is not None and self.catalog.is_least_urgent(route, service_name)

    def find_shortest_pause(self, service_name: str) -> float:
        """Return the smallest pause limit, in seconds, among the streams of a service."""
        return self.catalog.find_shortest_pause(service_name) if self.catalog else float("inf")

    def apply_catalog(self, snapshot: CatalogSnapshot) -> bool:
        """Apply a snapshot of the configuration; return whether it has a new version."""
        catalog = snapshot.catalog
        if catalog is None:
            return False
        current = self.catalog
        if current is not None and catalog.row_version < current.row_version:
            return False
        changed = current is None or catalog.row_version > current.row_version
        self.catalog = catalog
        self._catalog_freshness.record(
            FreshnessStamp(version=str(catalog.row_version), store_time=snapshot.store_time)
        )
        self.newer_catalog_known = False
        return changed

    def apply_endpoints(self, snapshot: EndpointSnapshot) -> bool:
        """Apply a snapshot of the endpoint table; return whether it differs."""
        stamp = self._endpoint_freshness.stamp
        if stamp is not None and snapshot.store_time < stamp.store_time:
            return False
        self._endpoint_freshness.record(
            FreshnessStamp(version=snapshot.digest, store_time=snapshot.store_time)
        )
        changed = snapshot.digest != self.endpoints.digest
        recovering = self._endpoint_freshness.is_recovering()
        if changed or self.endpoints.has_lapsed:
            self.endpoints.apply(snapshot.records, digest=snapshot.digest, recovering=recovering)
        self.newer_endpoints_known = False
        return changed

    def record_endpoint_read(self, *, started_at: float) -> None:
        """Record that this instance has read the endpoint table, and when the read began."""
        self._endpoints_read_at = max(self._endpoints_read_at, started_at)

    def record_failed_endpoint_read(self) -> None:
        """Record that a read of the endpoint table failed."""
        self._endpoint_freshness.record_failure()

    def apply_stamps(
        self, *, catalog: FreshnessStamp | None, endpoints: FreshnessStamp | None
    ) -> None:
        """Apply another instance's freshness stamps, or record that it has a newer table.

        Args:
            catalog: Its freshness stamp of the configuration.
            endpoints: Its freshness stamp of the endpoint table.
        """
        self._received_catalog_stamp = _pick_newer(self._received_catalog_stamp, catalog)
        self._received_endpoint_stamp = _pick_newer(self._received_endpoint_stamp, endpoints)
        if catalog is not None and not self._catalog_freshness.confirm(catalog):
            own = self.catalog.row_version if self.catalog else -1
            if _parse_row_version(catalog.version) > own:
                self.newer_catalog_known = True
        if endpoints is not None and not self._endpoint_freshness.confirm(endpoints):
            stamp = self._endpoint_freshness.stamp
            if stamp is None or endpoints.store_time > stamp.store_time:
                self.newer_endpoints_known = True


def _pick_newer(one: FreshnessStamp | None, other: FreshnessStamp | None) -> FreshnessStamp | None:
    if one is None or other is None:
        return one or other
    return one if one.store_time >= other.store_time else other


def _parse_row_version(text: str) -> int:
    return int(text) if text.isdecimal() else -1

"""Reads the store's tables, one read of each at a time, and applies the results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast.relay.freshness import round_age
from guavamast.relay.store import CatalogSnapshot, StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.catalog_update import CatalogUpdate
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.store import EndpointSnapshot, Store


class SharedRead:
    """A read of a table that concurrent requesters share.

    Without this, many requests that find the same table too old would each read it, and the store
    would get as many calls as there are callers.

    Args:
        read: Performs one read; returns whether it succeeded.
    """

    __slots__ = ("_read", "_task")

    def __init__(self, *, read: Callable[[], Awaitable[bool]]) -> None:
        self._read = read
        self._task: asyncio.Task[bool] | None = None

    async def join(self) -> bool:
        """Wait for the read in progress, or start one; return whether it succeeded."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._read())
        return await asyncio.shield(self._task)


class StoreReader:
    """Reads the tables, applies them, and publishes them to the other instances at once.

    Args:
        store: The platform's store.
        fleet_state: Receives the tables.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
        send_heartbeat: Sends a heartbeat with the new freshness stamps at once.
        publish_catalog: Sends a configuration to the other instances.
        publish_endpoints: Sends an endpoint table to the other instances.
    """

    __slots__ = (
        "_send_heartbeat",
        "_counters",
        "_fleet_state",
        "_log",
        "_read_time",
        "_store",
        "_publish_catalog",
        "_publish_endpoints",
        "answers",
        "catalog",
        "endpoints",
    )

    def __init__(
        self,
        *,
        store: Store,
        fleet_state: FleetState,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
        send_heartbeat: Callable[[], None],
        publish_catalog: Callable[[CatalogSnapshot], None],
        publish_endpoints: Callable[[EndpointSnapshot], None],
    ) -> None:
        self._store = store
        self._fleet_state = fleet_state
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._send_heartbeat = send_heartbeat
        self._publish_catalog = publish_catalog
        self._publish_endpoints = publish_endpoints
        self.catalog = SharedRead(read=self._read_catalog)
        """Reads the configuration."""
        self.endpoints = SharedRead(read=self._read_endpoints)
        """Reads the endpoint table."""
        self.answers = True
        """Whether the last call to the store had a usable response."""

    def apply_endpoint_snapshot(self, snapshot: EndpointSnapshot, *, from_peer: bool) -> bool:
        """Apply an endpoint table; return whether it differs from the current one.

        Args:
            snapshot: The table.
            from_peer: Whether another instance has read it.
        """
        now = self._read_time()
        age_s = self._fleet_state.compute_endpoints_age(now=now)
        if not self._fleet_state.apply_endpoints(snapshot):
            return False
        records = self._fleet_state.endpoints.list_all()
        self._log.write(
            "endpoints_taken",
            now=now,
            endpoints_version=snapshot.digest,
            listed=len(snapshot.records),
            ready=sum(record.ready for record in records),
            software_versions=_list_software_versions(records),
            lapsed=self._fleet_state.endpoints.has_lapsed,
            told=from_peer,
            former_age_s=round_age(age_s),
        )
        return True

    def apply_catalog_update(self, update: CatalogUpdate) -> bool:
        """Apply a configuration that another instance has read; return whether it is new.

        One that can't be parsed is ignored; this instance's next read of the store replaces it.
        """
        former_age_s = self._fleet_state.compute_catalog_age(now=self._read_time())
        known = self._fleet_state.catalog
        if known is not None and known.row_version >= update.row_version:
            return False
        try:
            catalog = self._store.decode_catalog(update.text, row_version=update.row_version)
        except StoreError as error:
            self._log.write("told_unusable", now=self._read_time(), reason=error.reason)
            return False
        snapshot = CatalogSnapshot(catalog=catalog, store_time=update.store_time)
        return self._apply_catalog(snapshot, former_age_s=former_age_s, from_peer=True)

    def record_failure(self, call: str, error: StoreError) -> None:
        """Record a call that returned no usable response."""
        self._counters.add(f'store_failures_total{{call="{call}"}}')
        if self.answers:
            now = self._read_time()
            self._log.write(
                "store_lost",
                now=now,
                call=call,
                reason=error.reason,
                config_age_s=round_age(self._fleet_state.compute_catalog_age(now=now)),
            )
        self.answers = False

    async def _read_catalog(self) -> bool:
        started_at = self._read_time()
        former_age_s = self._fleet_state.compute_catalog_age(now=started_at)
        try:
            snapshot = await self._store.read_catalog(known=self._fleet_state.catalog)
        except StoreError as error:
            self.record_failure("read_configuration", error)
            return False
        self._record_success(started_at=started_at)
        if (
            self._apply_catalog(snapshot, former_age_s=former_age_s, from_peer=False)
            and snapshot.text
        ):
            self._publish_catalog(snapshot)
        self._send_heartbeat()
        return True

    def _apply_catalog(
        self, snapshot: CatalogSnapshot, *, former_age_s: float, from_peer: bool
    ) -> bool:
        if not self._fleet_state.apply_catalog(snapshot):
            return False
        catalog = self._fleet_state.catalog
        self._log.write(
            "configuration_taken",
            now=self._read_time(),
            config_version=self._fleet_state.catalog_version,
            row_version=catalog.row_version if catalog else None,
            told=from_peer,
            former_age_s=round_age(former_age_s),
        )
        return True

    async def _read_endpoints(self) -> bool:
        started_at = self._read_time()
        try:
            snapshot = await self._store.read_endpoints()
        except StoreError as error:
            self._fleet_state.record_failed_endpoint_read()
            self.record_failure("read_endpoints", error)
            return False
        self._record_success(started_at=started_at)
        self._fleet_state.record_endpoint_read(started_at=started_at)
        if self.apply_endpoint_snapshot(snapshot, from_peer=False):
            self._publish_endpoints(snapshot)
        self._send_heartbeat()
        return True

    def _record_success(self, *, started_at: float) -> None:
        now = self._read_time()
        self._counters.add("store_reads_total")
        self._counters.observe("store_read_seconds", now - started_at)
        if not self.answers:
            self._log.write("store_regained", now=now)
        self.answers = True


def _list_software_versions(records: list[EndpointRecord]) -> str:
    """Return each service with the software versions of its ready endpoints, for the log."""
    listed = {f"{record.service}:{record.software_version}" for record in records if record.ready}
    return ",".join(sorted(listed))

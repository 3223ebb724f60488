"""Checks that the tables are fresh enough for a request, on arrival and before each send."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.caller_gate import Admitted, Denied, reject_for_retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_gate import CallerGate
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.staleness import StalenessBounds
    from guavamast.relay.store_reader import SharedRead, StoreReader

MAX_READ_WAIT_S: Final = 1.0
"""Seconds that a request waits at most for store reads: another instance may serve it sooner."""


class CallerAdmission:
    """Admits requests by fresh tables, and checks their age again before each send.

    If updates are lost or applied late, a slow instance would use a route that was moved or an
    endpoint that left seconds ago. Ages are therefore checked at the moment of use, independent of
    the update interval: a table that is too old is read first, and the request is rejected with a
    retry delay if that takes too long. Old tables are used only while the store does not answer, as
    a store outage must not end the service; the bound on keys holds even then.

    Args:
        gate: Decides on routes and keys.
        bounds: Maximum ages of the tables.
        fleet_state: Configuration and endpoint table.
        reader: Reads the store.
        read_time: The local clock.
    """

    __slots__ = ("_bounds", "_gate", "_fleet_state", "_read_time", "_reader")

    def __init__(
        self,
        *,
        gate: CallerGate,
        bounds: StalenessBounds,
        fleet_state: FleetState,
        reader: StoreReader,
        read_time: Callable[[], float],
    ) -> None:
        self._gate = gate
        self._bounds = bounds
        self._fleet_state = fleet_state
        self._reader = reader
        self._read_time = read_time

    async def admit(self, request: CallerRequest, *, until: float) -> Admitted | Denied:
        """Return the admission of a request, or its rejection.

        Args:
            request: The request.
            until: Local time until which the caller waits.
        """
        if not await self.refresh(until=until):
            return reject_for_retry("old knowledge")
        age_s = self._fleet_state.compute_catalog_age(now=self._read_time())
        return self._gate.decide(request, self._fleet_state.catalog, age_s=age_s)

    def check_send(self, admitted: Admitted, record: EndpointRecord, *, now: float) -> None:
        """Raise if a request must no longer be sent as it was admitted.

        Time passes between admission and send: a connection is opened, or the process is paused.
        The tables by which the request was admitted may have changed or become too old meanwhile.

        Args:
            admitted: The admission of the request.
            record: The chosen endpoint.
            now: The current time.

        Raises:
            AttemptFailed: With ``OUTDATED``.
        """
        if admitted.catalog is not self._fleet_state.catalog:
            raise AttemptFailed(FailureKind.OUTDATED, "the configuration has changed")
        self.check_endpoint(record, now=now)
        if self._has_old_key(admitted, now=now):
            raise AttemptFailed(FailureKind.OUTDATED, "old keys")

    @property
    def store_answers(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._reader.answers

    def admit_retry(
        self, request: CallerRequest, *, service: str, sends: int, now: float
    ) -> Admitted | None:
        """Return the admission of a request that a service may have run, to send it there again.

        None if the newest configuration, or its age, forbids it.

        Args:
            request: The request.
            service: The service.
            sends: Number of endpoints to which the request was sent.
            now: The present time.
        """
        age_s = self._fleet_state.compute_catalog_age(now=now)
        decision = self._gate.decide(request, self._fleet_state.catalog, age_s=age_s)
        if isinstance(decision, Denied) or not decision.route.leads_to(service):
            return None
        if not decision.route.allows_repetition(sends=sends, possible_runs=sends):
            return None
        return decision

    def check_endpoint(self, record: EndpointRecord, *, now: float) -> None:
        """Raise if nothing must be sent to an endpoint any more, by tables that are fresh enough.

        Raises:
            AttemptFailed: With ``OUTDATED``.
        """
        known = self._fleet_state.endpoints.find(record.endpoint_id)
        if known is None or not known.ready:
            raise AttemptFailed(FailureKind.OUTDATED, "the endpoint leaves")
        if self._reader.answers and self._list_stale_reads(now):
            raise AttemptFailed(FailureKind.OUTDATED, "old knowledge")

    async def refresh(self, *, until: float) -> bool:
        """Read the tables that are too old; return whether requests may be sent afterwards.

        Tables of any age are accepted while the store does not answer. An instance that has just
        started and has no tables waits in the same way; the gate rejects its requests.
        """
        until = min(until, self._read_time() + MAX_READ_WAIT_S)
        while True:
            now = self._read_time()
            stale = self._list_stale_reads(now)
            if not stale or not self._reader.answers:
                return True
            if now >= until:
                return False
            reads = [asyncio.ensure_future(read.join()) for read in stale]
            await asyncio.wait(reads, timeout=until - now)

    def _has_old_key(self, admitted: Admitted, *, now: float) -> bool:
        """Return whether a request's key may have been revoked, by the age of what is known."""
        age_s = self._fleet_state.compute_catalog_age(now=now)
        return admitted.organisation is not None and age_s > self._bounds.keys_s

    def _list_stale_reads(self, now: float) -> list[SharedRead]:
        """Return the reads of the tables that are too old."""
        stale = []
        if self._fleet_state.compute_catalog_age(now=now) > self._bounds.catalog_s:
            stale.append(self._reader.catalog)
        if self._fleet_state.compute_endpoints_age(now=now) > self._bounds.endpoints_s:
            stale.append(self._reader.endpoints)
        return stale

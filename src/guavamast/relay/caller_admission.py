"""Whether what is known is recent enough for a request, when it comes and when it is sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.attempt import AttemptFailed, FailureKind
from guavamast.relay.caller_gate import Admitted, Denied, reject_for_retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_gate import CallerGate
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.staleness import StalenessBounds
    from guavamast.relay.store_reader import SharedRead, StoreReader

MAX_READ_WAIT_S: Final = 1.0
"""Seconds for which a request waits for reads of the store: another instance may answer sooner."""


class CallerAdmission:
    """Admits requests by recent knowledge, and checks it again as each is sent.

    Failure: news is lost on the way or taken late by a slow instance, which sends requests by a
    route that was moved or to an endpoint that left seconds ago. Ages are bounded at the moment of
    use, not by how often news is expected: what is too old is read first, and the caller is sent
    back if that takes too long. Only while the store gives no answers is old knowledge used, as the
    store's outage must not end the service; keys have a bound that holds even then.

    Args:
        gate: Decides on routes and keys.
        bounds: The greatest ages.
        knowledge: Configuration and endpoints.
        reader: Reads the store.
        read_time: The local clock.
    """

    __slots__ = ("_bounds", "_gate", "_knowledge", "_read_time", "_reader")

    def __init__(
        self,
        *,
        gate: CallerGate,
        bounds: StalenessBounds,
        knowledge: FleetKnowledge,
        reader: StoreReader,
        read_time: Callable[[], float],
    ) -> None:
        self._gate = gate
        self._bounds = bounds
        self._knowledge = knowledge
        self._reader = reader
        self._read_time = read_time

    async def admit(self, request: CallerRequest, *, until: float) -> Admitted | Denied:
        """Return where a request may go, or its answer.

        Args:
            request: The request.
            until: Local time until which the caller waits.
        """
        if not await self._refresh(until=until):
            return reject_for_retry("old knowledge")
        age_s = self._knowledge.compute_catalog_age(now=self._read_time())
        return self._gate.decide(request, self._knowledge.catalog, age_s=age_s)

    def check_send(self, admitted: Admitted, record: EndpointRecord, *, now: float) -> None:
        """Raise if a request must not be sent as it was decided.

        Time passes between the decision and the send: a connection is made, or the process stands
        still. What the request was decided by may have changed or grown too old meanwhile.

        Args:
            admitted: How the request was admitted.
            record: The endpoint that was chosen.
            now: The present time.

        Raises:
            AttemptFailed: With ``OUTDATED``.
        """
        if admitted.catalog is not self._knowledge.catalog:
            raise AttemptFailed(FailureKind.OUTDATED, "the configuration has changed")
        known = self._knowledge.endpoints.find(record.endpoint_id)
        if known is None or not known.ready:
            raise AttemptFailed(FailureKind.OUTDATED, "the endpoint leaves")
        if self._reader.answers and self._list_stale_reads(now):
            raise AttemptFailed(FailureKind.OUTDATED, "old knowledge")
        age_s = self._knowledge.compute_catalog_age(now=now)
        if admitted.organisation is not None and age_s > self._bounds.keys_s:
            raise AttemptFailed(FailureKind.OUTDATED, "old keys")

    async def _refresh(self, *, until: float) -> bool:
        """Read what is too old; returns whether requests may be sent by what is known then.

        Knowledge of any age will do once the store gives no answers. An instance that has just
        started and knows nothing waits likewise; the gate tells its callers.
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

    def _list_stale_reads(self, now: float) -> list[SharedRead]:
        """Return the reads of the tables that are known too long ago."""
        stale = []
        if self._knowledge.compute_catalog_age(now=now) > self._bounds.catalog_s:
            stale.append(self._reader.catalog)
        if self._knowledge.compute_endpoints_age(now=now) > self._bounds.endpoints_s:
            stale.append(self._reader.endpoints)
        return stale

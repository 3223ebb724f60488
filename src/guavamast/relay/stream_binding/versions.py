"""What software endpoints run, by what the store said after the connection to them was there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.stream_binding.records import StreamBinding, StreamSource

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.stream_binding.records import UnconfirmedSource

CONFIRM_TIMEOUT_S: Final = 0.3
"""Seconds for which a stream waits for a read of the endpoint table: many of the store's answers,
and less than a caller waits for the next event."""
MAX_READS: Final = 2
"""Requests for the table until it is sure to be later than a connection: one may be under way."""


class SoftwareVersions:
    """Tells the software of endpoints, or that it isn't known.

    An endpoint may start again under its id and address with other software, and accepts what was
    meant for its predecessor. Its row then says so, but a table that was read before doesn't. A
    connection ends with the process that accepted it, so a row that is known to be the store's
    newest at any time after the connection was there tells what answers on it, for good.

    Args:
        fleet_state: Endpoints.
        read_endpoints: Reads the endpoint table.
        read_time: Reads the local clock.
    """

    __slots__ = ("_fleet_state", "_read_endpoints", "_read_time")

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        read_endpoints: Callable[[], Awaitable[bool]],
        read_time: Callable[[], float],
    ) -> None:
        self._fleet_state = fleet_state
        self._read_endpoints = read_endpoints
        self._read_time = read_time

    def identify(self, source: StreamSource, *, now: float) -> StreamBinding | None:
        """Return the binding of a stream from an endpoint; None if it isn't known, or not yet."""
        record = source.record
        if not self._may_be_identified(record):
            return None
        if self._fleet_state.find_endpoints_known_until(now=now) < source.established_at:
            return None
        return StreamBinding(service=record.service, software_version=record.software_version)

    async def confirm(self, source: StreamSource) -> StreamBinding | None:
        """Return the binding of a stream, after a read of the table if it isn't known without."""
        for _ in range(MAX_READS):
            binding = self.identify(source, now=self._read_time())
            if binding is not None or not self._may_be_identified(source.record):
                return binding
            reading = asyncio.ensure_future(self._read_endpoints())
            await asyncio.wait((reading,), timeout=CONFIRM_TIMEOUT_S)
        return self.identify(source, now=self._read_time())

    async def confirm_later(self, binding: StreamBinding, source: UnconfirmedSource) -> bool:
        """Return whether a binding that was not confirmed at its stream's first event is right."""
        record = self._fleet_state.endpoints.find(source.endpoint_id)
        if record is None or record.started_ms != source.started_ms:
            return False
        known = StreamSource(record=record, established_at=source.established_at)
        return await self.confirm(known) == binding

    def has_changed(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint has been started again, or replaced, since it was chosen."""
        listed = self._fleet_state.endpoints.find(record.endpoint_id)
        if listed is None:
            return False
        return (listed.started_ms, listed.software_version, listed.service) != (
            record.started_ms,
            record.software_version,
            record.service,
        )

    def list_others(self, binding: StreamBinding) -> set[str]:
        """Return the ids of the ready endpoints of a service at which a stream can't go on."""
        return {
            record.endpoint_id
            for record in self._fleet_state.endpoints.list_ready(binding.service)
            if record.software_version != binding.software_version
        }

    def _may_be_identified(self, record: EndpointRecord) -> bool:
        is_listed = self._fleet_state.endpoints.find(record.endpoint_id) is not None
        return record.software_version is not None and is_listed and not self.has_changed(record)

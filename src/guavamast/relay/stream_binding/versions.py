"""What software endpoints run, by a table that is recent enough to rely on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.stream_binding.records import StreamBinding

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.staleness import StalenessBounds


class SoftwareVersions:
    """Tells the software of endpoints, or that it isn't known.

    An endpoint may start again under its id and address with other software, and accepts what was
    meant for its predecessor. An old table doesn't show this, so none is relied on, also while the
    store is away: streams then break off instead of going on by a guess.

    Args:
        fleet_state: Endpoints.
        bounds: Maximum age of the endpoint table.
    """

    __slots__ = ("_bounds", "_fleet_state")

    def __init__(self, *, fleet_state: FleetState, bounds: StalenessBounds) -> None:
        self._fleet_state = fleet_state
        self._bounds = bounds

    def is_current(self, *, now: float) -> bool:
        """Return whether the table shows the present software of all endpoints."""
        return self._fleet_state.compute_endpoints_age(now=now) <= self._bounds.endpoints_s

    def identify(self, record: EndpointRecord, *, now: float) -> StreamBinding | None:
        """Return the binding of a stream that begins at an endpoint now; None if it isn't known.

        Args:
            record: The endpoint, as it was when it was chosen.
            now: The present time.
        """
        if record.software_version is None or not self.is_current(now=now):
            return None
        if self.has_changed(record):
            return None
        return StreamBinding(service=record.service, software_version=record.software_version)

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

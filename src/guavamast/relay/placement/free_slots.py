"""Free slots of endpoints that bear few rejections: nothing is sent there to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord

RESERVED_SLOTS: Final = 1
"""Requests fewer than its slots that an endpoint gets: work ends there a little later than is known
here."""
MIN_SLOTS_TO_RESERVE: Final = 4
"""Requests that an endpoint must run at a time for a slot to be reserved: of fewer it would be too
large a part."""
PAUSE_S: Final = 0.5
"""Seconds after a rejection in which an endpoint gets nothing, as its free slots aren't known."""
REDUCED_S: Final = 3.0
"""Seconds for which an endpoint gets no more than it ran when it rejected a request."""


class FreeSlots:
    """Tells which endpoints have a free slot, from what was sent there and what they rejected."""

    __slots__ = ("_rejected_at", "_slots_then")

    def __init__(self) -> None:
        self._rejected_at: dict[str, float] = {}
        self._slots_then: dict[str, int] = {}
        """Requests that an endpoint ran when it last rejected one."""

    def record_rejection(self, endpoint_id: str, *, running: int, now: float) -> None:
        """Record that an endpoint has rejected a request.

        Args:
            endpoint_id: The endpoint.
            running: Other requests that were counted there.
            now: The present time.
        """
        self._rejected_at[endpoint_id] = now
        self._slots_then[endpoint_id] = running

    def has_one(self, record: EndpointRecord, *, running: int, now: float) -> bool:
        """Return whether an endpoint has a free slot.

        Args:
            record: The endpoint.
            running: Requests that are counted there.
            now: The present time.
        """
        slots = record.slots
        if slots >= MIN_SLOTS_TO_RESERVE:
            slots -= RESERVED_SLOTS
        rejected_at = self._rejected_at.get(record.endpoint_id)
        if rejected_at is not None:
            if now - rejected_at < PAUSE_S:
                return False
            if now - rejected_at < REDUCED_S:
                slots = min(slots, max(1, self._slots_then[record.endpoint_id]))
        return running < slots

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the endpoints that are gone."""
        for endpoint_id in list(self._rejected_at):
            if endpoint_id not in endpoint_ids:
                del self._rejected_at[endpoint_id]
                del self._slots_then[endpoint_id]

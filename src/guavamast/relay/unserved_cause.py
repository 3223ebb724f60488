"""Ways in which a request ends without a response that its caller can use."""

from __future__ import annotations

from enum import StrEnum


class UnservedCause(StrEnum):
    """Why a request was not answered."""

    NO_ROOM = "no_room"
    """Rejected here, as no endpoint had room in time."""
    ENDPOINT_FULL = "endpoint_full"
    """Rejected by the endpoints that it was sent to."""
    TIME_UP = "time_up"
    """Its time ended before its response did."""
    INSTANCE_LEFT = "instance_left"
    """Its instance left before its response was complete."""
    BROKEN_OFF = "broken_off"
    """Its stream had begun and could not go on."""
    FAILED = "failed"
    """No endpoint gave a response, or only an error."""
    CALLER_LEFT = "caller_left"
    """Its caller closed the connection first."""
    CALLER_SLOW = "caller_slow"
    """Its caller was cut off, as it read too slowly while memory was short."""

    @property
    def lacks_room(self) -> bool:
        """Whether more room at the endpoints would have served it."""
        return self in (self.NO_ROOM, self.ENDPOINT_FULL, self.TIME_UP)

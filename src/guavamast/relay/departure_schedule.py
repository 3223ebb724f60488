"""Moments of an instance's departure, from the stop signal to the end of its process."""

from __future__ import annotations

from typing import Final

from guavamast.caller_server import LINGER_S
from guavamast.relay.caller_addresses import VALIDITY_S

ADDRESS_CACHE_FACTOR: Final = 3.0
"""Factor on the validity of a response with addresses: some callers cache it that long."""
LEAVE_MARGIN_S: Final = 0.5
"""Seconds added to the time in which callers may still connect: a heartbeat plus the transit of a
request."""
MAX_ACCEPT_SHARE: Final = 0.5
"""Share of its remaining time in which a leaving instance accepts requests at most. The rest is for
their responses: in a short grace time, those accepted last would be cut."""
STOP_MARGIN_S: Final = 0.5
"""Seconds before the platform would kill the process at which it ends, at most."""
MAX_STOP_SHARE: Final = 0.1
"""Share of the grace time that this margin takes at most: in a short one, responses would be cut
that the platform lets end."""
FORECAST_MARGIN_S: Final = 0.1
"""Seconds before callers' addresses expire from which on no forecast is relied on: a signal and a
request are received later than they were sent."""
LAST_SHARE: Final = 1 / 6
"""Share of the grace time at its end in which the platform lets work be cut."""
RESPONSE_MARGIN_S: Final = 0.1
"""Seconds before the end for the responses to requests that ran out of time by it, at most."""
MAX_RESPONSE_SHARE: Final = 0.05
"""Share of the grace time that this margin takes at most: with the one above it stays within the
last share, also in the shortest one."""
EXIT_MARGIN_S: Final = 0.1
"""Seconds before the platform would kill the process at which it does nothing more."""
LAST_LINES_S: Final = 0.1
"""Seconds before that for the last lines of the log, once all connections are closed."""


class DepartureSchedule:
    """When a leaving instance stops accepting, ends requests, and ends itself.

    Callers and the platform count from the moment at which the signal was sent. A process that
    waits for a processor receives it later, and would rely on forecasts when callers no longer may
    send, and end after it was killed. So what must not be late counts from the earliest moment at
    which the signal may have been sent, and accepting ends by the moment at which it was received.

    Args:
        grace_s: Seconds from the stop signal until the platform kills the process.
    """

    __slots__ = ("_delay_s", "_grace_s", "_received_at", "_signalled_at")

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._delay_s = 0.0
        self._received_at = 0.0
        self._signalled_at: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the stop signal was received."""
        return self._signalled_at is not None

    @property
    def accepts_until(self) -> float:
        """Local time until which requests are accepted."""
        ends_at = self.ends_at
        expired_at = self._received_at + ADDRESS_CACHE_FACTOR * VALIDITY_S + LEAVE_MARGIN_S
        remaining_s = ends_at - self._received_at
        return min(expired_at, self._received_at + MAX_ACCEPT_SHARE * remaining_s)

    @property
    def forecasts_until(self) -> float:
        """Local time until which requests are sent that are only expected to end in time."""
        earliest_signal_at = self._received_at - self._delay_s
        return earliest_signal_at + ADDRESS_CACHE_FACTOR * VALIDITY_S - FORECAST_MARGIN_S

    @property
    def requests_end_at(self) -> float:
        """Local time at which the requests in flight run out of time."""
        return self.ends_at - self._response_margin_s

    @property
    def streams_end_at(self) -> float:
        """Local time at which streams run out of time whose callers are behind."""
        return max(self.requests_end_at, self.closes_at - RESPONSE_MARGIN_S)

    @property
    def queries_end_at(self) -> float:
        """Local time from which on queries are no longer answered.

        Their callers get as long to close their connections as those of requests, and before the
        end: many keep idle ones open for good.
        """
        return self.ends_at - LINGER_S

    @property
    def ends_at(self) -> float:
        """Local time until which responses are awaited."""
        return self._get_signal_time() + self._grace_s - self._stop_margin_s

    @property
    def closes_at(self) -> float:
        """Local time by which the last connections are closed, whatever their callers do."""
        return max(self.ends_at, self.exits_at - LAST_LINES_S)

    @property
    def exits_at(self) -> float:
        """Local time at which the process ends at the latest, whatever is left to do."""
        return self._get_signal_time() + self._grace_s - EXIT_MARGIN_S

    @property
    def _stop_margin_s(self) -> float:
        return min(STOP_MARGIN_S, MAX_STOP_SHARE * self._grace_s)

    @property
    def _response_margin_s(self) -> float:
        return min(RESPONSE_MARGIN_S, MAX_RESPONSE_SHARE * self._grace_s)

    def begin(self, *, now: float, delay_s: float = 0.0) -> None:
        """Record the stop signal.

        Args:
            now: Time at which it was received.
            delay_s: Seconds by which this process may have received it late. For the ends it counts
                as far as requests don't end before the last share of the grace time for it.
        """
        spare_s = LAST_SHARE * self._grace_s - self._stop_margin_s - self._response_margin_s
        self._delay_s = delay_s
        self._received_at = now
        self._signalled_at = now - min(delay_s, max(0.0, spare_s))

    def compute_offset(self, at: float | None) -> float | None:
        """Return the seconds from the stop signal to a local time; None without one of them."""
        if self._signalled_at is None or at is None:
            return None
        return round(at - self._signalled_at, 3)

    def _get_signal_time(self) -> float:
        assert self._signalled_at is not None
        return self._signalled_at

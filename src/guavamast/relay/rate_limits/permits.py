"""Permits to send to endpoints that state a rate limit, granted in one place."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_S: Final = 4.0
"""Seconds in which an endpoint counts what it gets."""
PERMIT_VALID_S: Final = 0.5
"""Seconds after a permit within which its request is sent: time to connect."""
ARRIVAL_SLACK: Final = 2.0
"""Requests in a window that may arrive beyond the limit, as permits are used late and one is in
hand: a third more is left for those that no scheduler knows of."""
CATCH_UP_S: Final = 0.05
"""Seconds for which permits add up that nobody takes: requests come unevenly, so at a high limit
part of it would go unused between them."""
ASK_INTERVAL_S: Final = 5.0
"""Seconds between two requests to an endpoint that takes almost none: only a response can tell that
its limit has ended."""
MAX_ASK_WAIT_S: Final = 10.0
"""Seconds after which any request may ask, if none comes that should: calls of a service may all be
urgent, or impossible to repeat."""


def compute_pace(per_second: float) -> float:
    """Return the permits in a second under a limit.

    Permits are used up to `PERMIT_VALID_S` late, so those of a longer time may arrive within a
    window. The pace is the limit unless they would exceed the slack.
    """
    paced = (WINDOW_S * per_second + ARRIVAL_SLACK) / (WINDOW_S + PERMIT_VALID_S + CATCH_UP_S)
    return max(min(per_second, paced), 1.0 / ASK_INTERVAL_S)


class _Allowance:
    """Permits of one endpoint, at an even pace.

    A bucket that saved up while nobody asked would let a burst through. The times of the last
    permits are kept as well, so that after a fall of the limit those under the higher one count.
    """

    __slots__ = ("_credit", "_granted", "_updated_at", "last_at")

    def __init__(self, *, credit: float, now: float) -> None:
        self._credit = credit
        self._updated_at = now
        self.last_at = now
        """Time of the last permit, or of the start."""
        self._granted: deque[float] = deque()

    def compute_wait(self, pace: float, *, now: float) -> float:
        """Return the seconds until the next permit."""
        self._refill(pace, now=now)
        wait_s = max(0.0, (1.0 - self._credit) / pace)
        allowed = int(WINDOW_S * pace) + 1
        if len(self._granted) >= allowed:
            wait_s = max(wait_s, self._granted[-allowed] + WINDOW_S - now)
        return wait_s

    def take(self, *, now: float) -> None:
        """Take a permit."""
        self._credit = max(0.0, self._credit - 1.0)
        self.last_at = now
        self._granted.append(now)

    def _refill(self, pace: float, *, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        most = 1.0 + CATCH_UP_S * pace
        self._credit = min(most, self._credit + elapsed_s * pace)
        self._updated_at = now
        while self._granted and now - self._granted[0] >= WINDOW_S:
            self._granted.popleft()


class RatePermits:
    """Permits for the endpoints of the groups that one instance schedules.

    Failure: each instance keeps a limit by itself, or by counts that all know a moment later, and
    the endpoint gets the limit from each of them. One place grants.

    A place that begins to grant doesn't know the permits of the one before, so it starts with
    none in hand; the endpoint gets one more than the limit at most for each change.
    """

    __slots__ = ("_allowances",)

    def __init__(self) -> None:
        self._allowances: dict[str, _Allowance] = {}

    def compute_wait(
        self,
        endpoint_id: str,
        per_second: float,
        *,
        share: float,
        may_ask: bool,
        now: float,
    ) -> float:
        """Return the seconds until a request may be permitted; 0 if it may be now.

        Args:
            endpoint_id: The endpoint.
            per_second: Its limit.
            share: Share of it that is granted here.
            may_ask: Whether the request may go to an endpoint that takes almost none.
            now: Current time.
        """
        allowance = self._allowances.get(endpoint_id)
        if allowance is None:
            allowance = self._allowances[endpoint_id] = _Allowance(credit=0.0, now=now)
        wait_s = allowance.compute_wait(share * compute_pace(per_second), now=now)
        if per_second * ASK_INTERVAL_S < 1.0 and not may_ask:
            wait_s = max(wait_s, allowance.last_at + MAX_ASK_WAIT_S - now)
        return wait_s

    def take(self, endpoint_id: str, *, now: float) -> None:
        """Take a permit, which must be there."""
        self._allowances[endpoint_id].take(now=now)

    def release(self, endpoint_ids: Collection[str]) -> None:
        """Forget endpoints for which another place grants, or that state no limit any more."""
        for endpoint_id in endpoint_ids:
            self._allowances.pop(endpoint_id, None)

    def list_endpoints(self) -> list[str]:
        """Return the ids of the endpoints for which permits are granted here."""
        return list(self._allowances)

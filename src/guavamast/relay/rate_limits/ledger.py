"""The rate limits that endpoints state, as one instance knows them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.endpoint_table import EndpointRecord

SETTLE_S: Final = 2.0
"""Seconds after the end of a limit for which its service is still scheduled in one place: the
endpoint is idle, and all instances would choose it by the same published load."""
ENDED_RETENTION_S: Final = 30.0
"""Seconds for which the end of a limit is remembered, so that late news doesn't restore it."""
UNLISTED_RETENTION_S: Final = 10.0
"""Seconds for which the limit of an endpoint is kept that this instance doesn't list: its table may
be older than the news."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """What one incarnation of an endpoint last stated."""

    endpoint_id: str
    service: str
    started_ms: int
    """Start of the incarnation in Unix milliseconds; 0 if it isn't stated."""
    per_second: float | None
    """Requests in a second that it takes from all instances; None if it states no limit any more.
    """
    version: int
    """Increases with each change; of two statements the one with the higher version is newer."""

    def is_newer_than(self, other: RateLimit) -> bool:
        """Return whether it replaces another statement about the same endpoint.

        Two instances may find a change at the same time and number it alike. Then the stricter one
        counts at all instances, until the next response.
        """
        return self._rank > other._rank

    @property
    def _rank(self) -> tuple[int, int, float]:
        strictness = float("-inf") if self.per_second is None else -self.per_second
        return self.started_ms, self.version, strictness


@dataclass(slots=True, kw_only=True)
class _Entry:
    limit: RateLimit
    learnt_at: float
    """Local time at which this instance last learnt of this statement."""


class RateLimitLedger:
    """Rate limits by endpoint. A limit ends when its endpoint says so, not by silence.

    Failure: a limit that lapses after some seconds without a response ends at an endpoint that
    takes one request in five seconds, is sent a flood, states its limit, and lapses again.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known, nor the end of one."""
        return not self._entries

    def record(
        self, record: EndpointRecord, per_second: float | None, *, sent_at: float, now: float
    ) -> RateLimit | None:
        """Record what a response states; return the new statement if it changes something.

        A lower limit counts at once. A higher one, or the end, counts only if the request was sent
        after this instance had last learnt of the present limit: another response may be older
        than the one that stated it, and have been on its way for longer.

        Args:
            record: The endpoint.
            per_second: The limit; None if the response states none.
            sent_at: Local time at which its request was sent.
            now: Current time.
        """
        entry = self._find_current(record)
        if entry is None:
            if per_second is None:
                return None
            return self._replace(record, per_second, version=1, now=now)
        known = entry.limit
        if per_second == known.per_second:
            if per_second is not None:
                entry.learnt_at = now
            return None
        if _is_laxer(per_second, known.per_second) and sent_at <= entry.learnt_at:
            return None
        return self._replace(record, per_second, version=known.version + 1, now=now)

    def receive(self, limit: RateLimit, *, now: float) -> bool:
        """Apply what another instance tells; return whether it is news."""
        entry = self._entries.get(limit.endpoint_id)
        if entry is not None and not limit.is_newer_than(entry.limit):
            return False
        if entry is None and limit.per_second is None:
            return False
        self._entries[limit.endpoint_id] = _Entry(limit=limit, learnt_at=now)
        return True

    def find(self, record: EndpointRecord) -> float | None:
        """Return the limit of an endpoint in requests per second; None without one."""
        if not self._entries:
            return None
        entry = self._find_current(record)
        return entry.limit.per_second if entry is not None else None

    def list_limited(self, records: Iterable[EndpointRecord]) -> frozenset[str]:
        """Return the ids of the endpoints that state a limit."""
        if not self._entries:
            return frozenset()
        return frozenset(record.endpoint_id for record in records if self.find(record) is not None)

    def applies(self, service: str, *, now: float) -> bool:
        """Return whether the requests to a service are placed in one place for a limit."""
        return any(
            entry.limit.service == service
            and (entry.limit.per_second is not None or now - entry.learnt_at <= SETTLE_S)
            for entry in self._entries.values()
        )

    def get(self, endpoint_id: str) -> RateLimit | None:
        """Return the last statement about an endpoint."""
        entry = self._entries.get(endpoint_id)
        return entry.limit if entry is not None else None

    def list_statements(self, service: str | None = None) -> list[RateLimit]:
        """Return the last statements, the ends of limits included.

        Args:
            service: The service; None for all.
        """
        return [
            entry.limit
            for entry in self._entries.values()
            if service is None or entry.limit.service == service
        ]

    def list_due(self, *, now: float) -> list[RateLimit]:
        """Return the limits in force and those that have just ended, which are told again."""
        return [
            entry.limit
            for entry in self._entries.values()
            if entry.limit.per_second is not None or now - entry.learnt_at <= SETTLE_S
        ]

    def clean_up(self, records: Iterable[EndpointRecord], *, now: float) -> None:
        """Drop the limits of endpoints and incarnations that are gone, and old ends."""
        if not self._entries:
            return
        listed = {record.endpoint_id: record for record in records}
        for endpoint_id, entry in list(self._entries.items()):
            record = listed.get(endpoint_id)
            age_s = now - entry.learnt_at
            ended = entry.limit.per_second is None and age_s > ENDED_RETENTION_S
            unlisted = record is None and age_s > UNLISTED_RETENTION_S
            replaced = record is not None and entry.limit.started_ms < (record.started_ms or 0)
            if ended or unlisted or replaced:
                del self._entries[endpoint_id]

    def _find_current(self, record: EndpointRecord) -> _Entry | None:
        """Return the entry of an endpoint, unless it is about an earlier incarnation."""
        entry = self._entries.get(record.endpoint_id)
        if entry is None or entry.limit.started_ms < (record.started_ms or 0):
            return None
        return entry

    def _replace(
        self, record: EndpointRecord, per_second: float | None, *, version: int, now: float
    ) -> RateLimit:
        limit = RateLimit(
            endpoint_id=record.endpoint_id,
            service=record.service,
            started_ms=record.started_ms or 0,
            per_second=per_second,
            version=version,
        )
        self._entries[record.endpoint_id] = _Entry(limit=limit, learnt_at=now)
        return limit


def _is_laxer(one: float | None, other: float | None) -> bool:
    """Return whether a limit allows more than another; None is no limit."""
    return other is not None and (one is None or one > other)

"""Lost requests for which it is not known yet whether their endpoint has ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.records import EndpointEnd, EndpointIncarnation, LostAttribute

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavamast.relay.endpoint_table import EndpointRecord, EndpointTable

PENDING_LIFETIME_S: Final = 6.0
"""Seconds for which a loss waits for evidence: until the endpoint's record would have expired."""
ALIVE_MARGIN_S: Final = 0.5
"""Seconds after a loss from which on a response shows that its endpoint did not end then: one that
was sent before may be read a little later."""


@dataclass(slots=True, kw_only=True)
class _PendingEnd:
    record: EndpointRecord
    """The endpoint as it was when the first request was lost."""
    lost_at: float
    lost: set[LostAttribute]
    under_load: bool
    """Whether what the endpoint held explains its end."""


class PendingLosses:
    """Losses at endpoints that may have ended, or only closed some connections.

    A reset connection, a faulty endpoint or a cut link loses requests as well. Charged with these,
    innocent requests would soon look like the cause of ends that never happened.
    """

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[str, _PendingEnd] = {}

    def __bool__(self) -> bool:
        return bool(self._pending)

    def record(
        self,
        record: EndpointRecord,
        lost: Collection[LostAttribute],
        *,
        now: float,
        under_load: bool = False,
    ) -> bool:
        """Record a lost request; return whether it is the first at its endpoint, to be checked.

        An endpoint that ends loses all its requests at once, so earlier losses had another cause.

        Args:
            record: The endpoint.
            lost: Attributes of the request.
            now: Current time.
            under_load: Whether what the endpoint held explains an end.
        """
        pending = self._pending.get(record.endpoint_id)
        if pending is not None and now - pending.lost_at <= ALIVE_MARGIN_S:
            pending.lost.update(lost)
            # The work known there shrinks with each lost request; the first losses show the most.
            pending.under_load |= under_load
            return False
        self._pending[record.endpoint_id] = _PendingEnd(
            record=record, lost_at=now, lost=set(lost), under_load=under_load
        )
        return True

    def refute(self, record: EndpointRecord, *, now: float) -> None:
        """Discard the losses at an endpoint that has just answered, unless they are that recent.

        An endpoint that has restarted under its id shows nothing about its predecessor.
        """
        pending = self._pending.get(record.endpoint_id)
        if pending is None or pending.record.started_ms != record.started_ms:
            return
        if now - pending.lost_at > ALIVE_MARGIN_S:
            del self._pending[record.endpoint_id]

    def has_lost(self, endpoint_id: str) -> bool:
        """Return whether requests were lost at an endpoint that may have ended."""
        return endpoint_id in self._pending

    def find_overloaded(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the record of an endpoint whose end its load explains; None for any other."""
        pending = self._pending.get(endpoint_id)
        return pending.record if pending is not None and pending.under_load else None

    def confirm(self, endpoint_id: str) -> EndpointEnd | None:
        """Return the end of an endpoint that is known to have ended; None without a loss there."""
        pending = self._pending.pop(endpoint_id, None)
        if pending is None:
            return None
        return EndpointEnd(
            incarnation=EndpointIncarnation(
                endpoint_id=endpoint_id, started_ms=pending.record.started_ms
            ),
            ended_at=pending.lost_at,
            lost=frozenset(pending.lost),
        )

    def list_replaced(self, table: EndpointTable) -> list[str]:
        """Return the ids of endpoints that the store no longer lists, or lists as restarted."""
        replaced = []
        for endpoint_id, pending in self._pending.items():
            known = table.find(endpoint_id)
            if known is None or known.started_ms != pending.record.started_ms:
                replaced.append(endpoint_id)
        return replaced

    def drop_expired(self, *, now: float) -> None:
        """Drop losses for which no evidence of an end has come."""
        for endpoint_id, pending in list(self._pending.items()):
            if now - pending.lost_at > PENDING_LIFETIME_S:
                del self._pending[endpoint_id]

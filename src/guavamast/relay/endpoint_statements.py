"""What endpoints state about themselves in the heads of their responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import EndpointResponseHead
    from guavamast.relay.rate_limits import RateLimitSharing
    from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
    from guavamast.relay.unread_headers import UnreadHeaders

MALFORMED_INTERVAL_S: Final = 10.0
"""Seconds between two log lines about limits that can't be read."""


class EndpointStatements:
    """Passes what endpoints state on to those that act on it.

    Args:
        rejection_limits: Rejections that endpoints bear.
        rate_limits: Requests that endpoints take from all instances.
        unread: Names of headers that nothing reads.
        log: Decision log.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_log",
        "_malformed_at",
        "_rate_limits",
        "_read_time",
        "_rejection_limits",
        "_unread",
    )

    def __init__(
        self,
        *,
        rejection_limits: RejectionLimitSharing,
        rate_limits: RateLimitSharing,
        unread: UnreadHeaders,
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self._rejection_limits = rejection_limits
        self._rate_limits = rate_limits
        self._unread = unread
        self._log = log
        self._read_time = read_time
        self._malformed_at: float | None = None

    def record(
        self,
        record: EndpointRecord,
        head: EndpointResponseHead,
        *,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Record what a response states about its endpoint, if the response is its own.

        Args:
            record: The endpoint that the request was sent to.
            head: Head of the response.
            request_id: Id of the request.
            sent_at: Local time at which it was sent.
        """
        if not _is_own(head, request_id):
            return
        now = self._read_time()
        self._unread.record(head, endpoint_id=record.endpoint_id, now=now)
        if head.rejection_limit is not None:
            self._rejection_limits.record(record.service, head.rejection_limit)
        if head.malformed_rate_limit is not None:
            self._log_malformed(record, head.malformed_rate_limit, request_id, now=now)
        elif head.rate_limit is not None or head.signed:
            # A failing endpoint may omit what it states, so only its whole answers end a limit.
            self._rate_limits.record(
                record, head.rate_limit, sent_at=sent_at, request_id=request_id
            )

    def _log_malformed(
        self, record: EndpointRecord, value: str, request_id: str, *, now: float
    ) -> None:
        if self._malformed_at is not None and now - self._malformed_at < MALFORMED_INTERVAL_S:
            return
        self._malformed_at = now
        self._log.write(
            "rate_limit_malformed",
            now=now,
            endpoint=record.endpoint_id,
            value=value,
            request_id=request_id,
        )


def _is_own(head: EndpointResponseHead, request_id: str) -> bool:
    """Return whether a response is the endpoint's to the request, and not another endpoint's."""
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return False
    return bool(request_id) and head.request_id == request_id

"""Sharing of the rejection limits that endpoints state, among all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.rejection_limits import (
    RejectionLimit,
    RejectionLimits,
    decode_rejection_limit,
    encode_rejection_limit,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange


class RejectionLimitSharing:
    """Records the limits that endpoints state to this instance, and tells the others.

    Rejections count at an endpoint, whoever caused them. An instance that hasn't heard of a limit
    yet would use up what the endpoint bears.

    Args:
        limits: The services with a limit.
        fleet_state: Failure domain of this instance, and the others.
        exchange: Sends messages to other instances.
        log: Decision log.
        read_time: Reads the local clock.
    """

    __slots__ = ("_exchange", "_fleet_state", "_log", "_read_time", "limits")

    def __init__(
        self,
        *,
        limits: RejectionLimits,
        fleet_state: FleetState,
        exchange: HeartbeatExchange,
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self.limits = limits
        """The services with a limit."""
        self._fleet_state = fleet_state
        self._exchange = exchange
        self._log = log
        self._read_time = read_time

    def record(self, service: str, rejections_per_s: int) -> None:
        """Record a limit that an endpoint has stated, and tell the others if it is news."""
        if not self._apply(service, rejections_per_s):
            return
        limit = RejectionLimit(
            service=service,
            rejections_per_s=rejections_per_s,
            failure_domain=self._fleet_state.failure_domain,
        )
        self._exchange.spread(encode_rejection_limit(limit))

    def receive(self, data: bytes) -> None:
        """Apply a limit that another instance tells; in a large fleet, forward it if it is news.

        Raises:
            MalformedData: The datagram is not a valid limit.
        """
        limit = decode_rejection_limit(data)
        is_news = self._apply(limit.service, limit.rejections_per_s)
        if is_news and self._fleet_state.peers.aggregated:
            self._exchange.forward_table_update(data, domain=limit.failure_domain)

    def _apply(self, service: str, rejections_per_s: int) -> bool:
        now = self._read_time()
        applied = self.limits.applies(service, now=now)
        is_news = self.limits.record(service, now=now)
        if not applied:
            self._log.write(
                "rejections_limited", now=now, service=service, per_second=rejections_per_s
            )
        return is_news

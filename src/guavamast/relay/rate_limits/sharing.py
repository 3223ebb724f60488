"""Sharing of the rate limits that endpoints state, among all instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.rate_limits.wire import (
    RateLimitReport,
    decode_rate_limits,
    encode_rate_limits,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.rate_limits.ledger import RateLimit, RateLimitLedger

REPEAT_S: Final = 0.5
"""Seconds between two reports of the limits in force, for lost datagrams and new instances."""
MAX_LIMITS: Final = 20
"""Endpoints that one datagram tells of at most."""


class RateLimitSharing:
    """Records the limits that endpoints state to this instance, and tells the others.

    Args:
        ledger: The limits that are known here.
        name: Name of this instance.
        fleet_state: Failure domain of this instance, endpoints and other instances.
        exchange: Sends messages to other instances.
        is_granter: Returns whether this instance grants the permits of an endpoint; it repeats the
            news.
        send: Sends a datagram to an address.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_counters",
        "_exchange",
        "_fleet_state",
        "_gauged",
        "_is_granter",
        "_log",
        "_name",
        "_read_time",
        "_send",
        "ledger",
    )

    def __init__(
        self,
        *,
        ledger: RateLimitLedger,
        name: str,
        fleet_state: FleetState,
        exchange: HeartbeatExchange,
        is_granter: Callable[[RateLimit], bool],
        send: Callable[[bytes, tuple[str, int]], None],
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self.ledger = ledger
        """The limits that are known here."""
        self._name = name
        self._fleet_state = fleet_state
        self._exchange = exchange
        self._is_granter = is_granter
        self._send = send
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._gauged = False
        """Whether the gauges show any limit."""

    def record(
        self, record: EndpointRecord, per_second: float | None, *, sent_at: float, request_id: str
    ) -> None:
        """Record what a response states, and tell the others if it is news.

        Args:
            record: The endpoint.
            per_second: The limit; None if the response states none.
            sent_at: Local time at which its request was sent.
            request_id: Id of the request.
        """
        now = self._read_time()
        former = self.ledger.find(record)
        limit = self.ledger.record(record, per_second, sent_at=sent_at, now=now)
        if limit is None:
            return
        self._exchange.spread(self._encode([limit]))
        self._log_change(limit, former, told_by="endpoint", request_id=request_id, now=now)

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Apply limits that another instance tells; in a large fleet, forward news.

        An instance that tells something older is told what is known here.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        report = decode_rate_limits(data)
        now = self._read_time()
        is_news = False
        newer = []
        for limit in report.limits:
            known = self.ledger.get(limit.endpoint_id)
            if self.ledger.receive(limit, now=now):
                is_news = True
                former = known.per_second if known is not None else None
                self._log_change(limit, former, told_by=report.instance, request_id=None, now=now)
            elif known is not None and known.is_newer_than(limit):
                newer.append(known)
        if newer:
            self._send(self._encode(newer), source)
        if is_news and self._fleet_state.peers.aggregated:
            self._exchange.forward_table_update(data, domain=report.failure_domain)

    def tell(self, service: str, address: tuple[str, int]) -> None:
        """Tell the instance at an address the limits of a service."""
        limits = self.ledger.list_statements(service)
        if limits:
            self._send(self._encode(limits), address)

    def tell_peer(self, service: str, name: str) -> None:
        """Tell an instance of a name, if it is known."""
        target = self._fleet_state.peers.find_record(name)
        if target is not None:
            self.tell(service, (target.ip, target.peer_port))

    async def run(self) -> None:
        """Repeat the limits in force until cancelled; without any, nothing is sent."""
        while True:
            await asyncio.sleep(REPEAT_S)
            self.repeat(now=self._read_time())

    def repeat(self, *, now: float) -> None:
        """Tell the others the limits in force of the endpoints whose permits are granted here."""
        statements = self.ledger.list_statements()
        if not statements and not self._gauged:
            return
        self.ledger.clean_up(self._fleet_state.endpoints.list_all(), now=now)
        due = [limit for limit in self.ledger.list_due(now=now) if self._is_granter(limit)]
        for first in range(0, len(due), MAX_LIMITS):
            self._exchange.spread(self._encode(due[first : first + MAX_LIMITS]))
        self._counters.replace(
            "endpoint_rate_limit",
            {
                f'endpoint="{limit.endpoint_id}"': limit.per_second
                for limit in statements
                if limit.per_second is not None
            },
        )
        self._gauged = bool(statements)

    def _encode(self, limits: list[RateLimit]) -> bytes:
        report = RateLimitReport(
            instance=self._name,
            failure_domain=self._fleet_state.failure_domain,
            limits=tuple(limits),
        )
        return encode_rate_limits(report)

    def _log_change(
        self,
        limit: RateLimit,
        former: float | None,
        *,
        told_by: str,
        request_id: str | None,
        now: float,
    ) -> None:
        self._log.write(
            "rate_limit_changed",
            now=now,
            endpoint=limit.endpoint_id,
            service=limit.service,
            started_ms=limit.started_ms,
            per_second=limit.per_second,
            former=former,
            told_by=told_by,
            request_id=request_id,
        )

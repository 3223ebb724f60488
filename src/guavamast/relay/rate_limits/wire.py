"""Encoding of rate limits as datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json
from guavamast.relay.rate_limits.ledger import RateLimit

RATE_LIMIT_PREFIX: Final = b"n"
"""First byte of the datagram of rate limits."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitReport:
    """Rate limits that one instance tells others."""

    instance: str
    """Name of the instance that tells them."""
    failure_domain: str
    """Its failure domain."""
    limits: tuple[RateLimit, ...]


def encode_rate_limits(report: RateLimitReport) -> bytes:
    """Return the datagram of a report."""
    limits = [
        [one.endpoint_id, one.service, one.started_ms, one.per_second, one.version]
        for one in report.limits
    ]
    fields = [report.instance, report.failure_domain, limits]
    return RATE_LIMIT_PREFIX + encode_json(fields).encode()


def decode_rate_limits(data: bytes) -> RateLimitReport:
    """Return the report of a datagram.

    Raises:
        MalformedData: The datagram is not a valid report.
    """
    with Decoding("rate limits"):
        instance, domain, limits = decode_json(data[len(RATE_LIMIT_PREFIX) :])
        return RateLimitReport(
            instance=str(instance),
            failure_domain=str(domain),
            limits=tuple(_decode_limit(*fields) for fields in limits),
        )


def _decode_limit(
    endpoint_id: str, service: str, started_ms: int, per_second: float | None, version: int
) -> RateLimit:
    limit = None if per_second is None else float(per_second)
    if limit is not None and not (isfinite(limit) and limit >= 0.0):
        raise ValueError("the limit is no number of requests")
    return RateLimit(
        endpoint_id=str(endpoint_id),
        service=str(service),
        started_ms=int(started_ms),
        per_second=limit,
        version=int(version),
    )

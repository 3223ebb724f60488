"""Services whose endpoints end when they have to reject many requests, as they state themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json

REJECTION_LIMIT_PREFIX: Final = b"l"
"""First byte of the datagram of a rejection limit."""
LIMIT_LIFETIME_S: Final = 3.0
"""Seconds after the last statement for which a limit applies: endpoints state it in each response,
and one that has just started in its first."""
ANNOUNCE_AFTER_S: Final = 0.6
"""Seconds after which a statement is news that the other instances are told."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectionLimit:
    """A limit that an endpoint of a service has stated, as one instance tells the others."""

    service: str
    rejections_per_s: int
    failure_domain: str
    """Failure domain of the instance that tells it."""


def encode_rejection_limit(limit: RejectionLimit) -> bytes:
    """Return the datagram of a limit."""
    fields = [limit.service, limit.rejections_per_s, limit.failure_domain]
    return REJECTION_LIMIT_PREFIX + encode_json(fields).encode()


def decode_rejection_limit(data: bytes) -> RejectionLimit:
    """Return the limit of a datagram.

    Raises:
        MalformedData: The datagram is not a valid limit.
    """
    with Decoding("rejection limit"):
        service, rejections_per_s, domain = decode_json(data[len(REJECTION_LIMIT_PREFIX) :])
        return RejectionLimit(
            service=str(service),
            rejections_per_s=int(rejections_per_s),
            failure_domain=str(domain),
        )


class RejectionLimits:
    """The services with a limit, by the newest statement of any of their endpoints."""

    __slots__ = ("_stated_at",)

    def __init__(self) -> None:
        self._stated_at: dict[str, float] = {}

    def record(self, service: str, *, now: float) -> bool:
        """Record that a limit was stated; return whether this is news."""
        stated_at = self._stated_at.get(service)
        is_news = stated_at is None or now - stated_at >= ANNOUNCE_AFTER_S
        if is_news:
            self._stated_at[service] = now
        return is_news

    def applies(self, service: str, *, now: float) -> bool:
        """Return whether the endpoints of a service bear few rejections at present."""
        stated_at = self._stated_at.get(service)
        return stated_at is not None and now - stated_at <= LIMIT_LIFETIME_S + ANNOUNCE_AFTER_S

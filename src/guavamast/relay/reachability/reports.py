"""Reports of the services that instances don't reach, and what is known from them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json

REACHABILITY_PREFIX: Final = b"r"
"""First byte of the datagram of a reachability report."""
REPORT_INTERVAL_S: Final = 0.5
"""Seconds between two reports of an instance that doesn't reach all services."""
AGGREGATED_REPORT_INTERVAL_S: Final = 2.0
"""Seconds between two reports where instances forward them: each goes to the whole fleet."""
REPORT_LIFETIME_S: Final = 6.5
"""Seconds after which a report expires: two repetitions of the slowest may be lost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReachabilityReport:
    """The services whose endpoints one instance can't connect to."""

    instance: str
    failure_domain: str
    incarnation: int
    sequence: int
    """Number of the report within the incarnation."""
    blocked: tuple[str, ...]
    """Names of the services; empty once it reaches all again."""


def encode_reachability_report(report: ReachabilityReport) -> bytes:
    """Return the datagram of a report."""
    fields = [
        report.instance,
        report.failure_domain,
        report.incarnation,
        report.sequence,
        report.blocked,
    ]
    return REACHABILITY_PREFIX + encode_json(fields).encode()


def decode_reachability_report(data: bytes) -> ReachabilityReport:
    """Return the report of a datagram.

    Raises:
        MalformedData: The datagram is not a valid report.
    """
    with Decoding("reachability report"):
        instance, domain, incarnation, sequence, blocked = decode_json(
            data[len(REACHABILITY_PREFIX) :]
        )
        return ReachabilityReport(
            instance=str(instance),
            failure_domain=str(domain),
            incarnation=int(incarnation),
            sequence=int(sequence),
            blocked=tuple(str(service) for service in blocked),
        )


@dataclass(slots=True, kw_only=True)
class _Received:
    report: ReachabilityReport
    received_at: float


class PeerReachability:
    """The services that other instances don't reach, by their reports."""

    __slots__ = ("_received",)

    def __init__(self) -> None:
        self._received: dict[str, _Received] = {}

    def apply(self, report: ReachabilityReport, *, now: float) -> bool:
        """Apply a report; return whether it is newer than the known one of its instance.

        Failure: a process that starts after its wall clock was set back seems older than the former
        one, and all its reports would be ignored: requests go through an instance that reaches no
        endpoint. A report that has expired says nothing, so any other replaces it.
        """
        known = self._received.get(report.instance)
        if known is not None and now - known.received_at <= REPORT_LIFETIME_S:
            order = (known.report.incarnation, known.report.sequence)
            if (report.incarnation, report.sequence) <= order:
                return False
        self._received[report.instance] = _Received(report=report, received_at=now)
        return True

    def list_blocked(self, instance: str, *, now: float) -> tuple[str, ...]:
        """Return the services that an instance doesn't reach."""
        known = self._received.get(instance)
        if known is None or now - known.received_at > REPORT_LIFETIME_S:
            return ()
        return known.report.blocked

    def retain(self, instances: set[str]) -> None:
        """Drop the reports of instances that are gone."""
        self._received = {key: one for key, one in self._received.items() if key in instances}

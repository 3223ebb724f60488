"""Encoding of quarantine reports as datagrams."""

from __future__ import annotations

from typing import Any, Final

from guavamast.decoding import Decoding
from guavamast.relay.compressed_json import pack, unpack
from guavamast.relay.quarantine.attributes import find_kind
from guavamast.relay.quarantine.records import (
    Clearance,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    Quarantine,
    QuarantineReport,
)

QUARANTINE_PREFIX: Final = b"q"
"""First byte of a quarantine report."""
MAX_DATAGRAM_BYTES: Final = 60_000
"""Bytes of the longest report that is sent, below the UDP limit."""
MAX_LOST: Final = 256
"""Attributes named for each end at most: those of more requests than an instance has there."""


def encode_quarantine_report(report: QuarantineReport, *, now: float) -> bytes | None:
    """Return the datagram of a report, or None if it is too long for one.

    Times are sent as ages, as the clocks of instances differ.

    Args:
        report: The report.
        now: The local time at which it is sent.
    """
    fields = [
        report.domain,
        [_encode_end(end, now) for end in report.ends],
        [[one.attribute, _encode_age(one.at, now)] for one in report.clearances],
        [_encode_quarantine(one, now) for one in report.quarantines],
    ]
    data = QUARANTINE_PREFIX + pack(fields)
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


def decode_quarantine_report(data: bytes, *, now: float) -> QuarantineReport:
    """Return the report of a datagram, with times of the local clock.

    Args:
        data: The datagram.
        now: The local time at which it was received.

    Raises:
        MalformedData: The datagram is not a valid report.
    """
    with Decoding("quarantine report"):
        domain, ends, clearances, quarantines = unpack(data[len(QUARANTINE_PREFIX) :])
        return QuarantineReport(
            domain=str(domain),
            ends=tuple(_decode_end(end, now) for end in ends),
            clearances=tuple(
                Clearance(attribute=str(attribute), at=now - float(age_s))
                for attribute, age_s in clearances
            ),
            quarantines=tuple(_decode_quarantine(one, now) for one in quarantines),
        )


def _encode_age(time_s: float, now: float) -> float:
    return round(now - time_s, 3)


def _encode_end(end: EndpointEnd, now: float) -> list[Any]:
    lost = sorted(end.lost, key=_rank_lost)[:MAX_LOST]
    return [
        end.incarnation.endpoint_id,
        end.incarnation.started_ms,
        _encode_age(end.ended_at, now),
        [[one.attribute, one.organisation] for one in lost],
    ]


def _rank_lost(lost: LostAttribute) -> tuple[int, str]:
    """Return the order in which attributes are left out where there are too many, the last first.

    A attribute is hardly ever at a second end.
    """
    return -find_kind(lost.attribute).breadth, lost.attribute


def _decode_end(fields: list[Any], now: float) -> EndpointEnd:
    endpoint_id, started_ms, age_s, lost = fields
    return EndpointEnd(
        incarnation=EndpointIncarnation(
            endpoint_id=str(endpoint_id),
            started_ms=None if started_ms is None else int(started_ms),
        ),
        ended_at=now - float(age_s),
        lost=frozenset(
            LostAttribute(attribute=str(attribute), organisation=_decode_name(organisation))
            for attribute, organisation in lost
        ),
    )


def _encode_quarantine(quarantine: Quarantine, now: float) -> list[Any]:
    return [
        quarantine.attribute,
        quarantine.organisation,
        quarantine.ends,
        _encode_age(quarantine.since, now),
        _encode_age(quarantine.requested_at, now),
        quarantine.trials_left,
        _encode_age(quarantine.next_trial_at, now),
    ]


def _decode_quarantine(fields: list[Any], now: float) -> Quarantine:
    attribute, organisation, ends, since_s, requested_s, trials_left, trial_s = fields
    return Quarantine(
        attribute=str(attribute),
        organisation=_decode_name(organisation),
        ends=int(ends),
        since=now - float(since_s),
        requested_at=now - float(requested_s),
        trials_left=int(trials_left),
        next_trial_at=now - float(trial_s),
    )


def _decode_name(value: Any) -> str | None:
    return None if value is None else str(value)

"""Encoding of the messages about duties as datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from guavamast.decoding import Decoding
from guavamast.relay.compressed_json import pack, unpack
from guavamast.relay.duties.reports import DutyNotice, DutyReport
from guavamast.relay.duty_settings import DUTY_PREFIX
from guavamast.relay.scaling import ServiceDemand


class _Kind(IntEnum):
    """First field of a message."""

    REPORT = 1
    NOTICE = 2


def encode_duty_message(message: DutyReport | DutyNotice) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, DutyNotice):
        return DUTY_PREFIX + pack(
            [
                _Kind.NOTICE,
                message.holder,
                message.fencing,
                _round_time(message.clock_offset_s),
                message.fixed_through,
            ]
        )
    fields = [
        _Kind.REPORT,
        message.instance,
        message.incarnation,
        message.sequence,
        round(message.as_of, 3),
        round(message.wall_offset_s, 3),
        _round_time(message.clock_offset_s),
        {str(window): counts for window, counts in message.windows.items()},
        {service: _encode_demand(demand) for service, demand in message.demand.items()},
    ]
    return DUTY_PREFIX + pack(fields)


def decode_duty_message(data: bytes) -> DutyReport | DutyNotice:
    """Return the message of a datagram.

    Raises:
        MalformedData: The datagram is not a valid message.
    """
    with Decoding("duty message"):
        fields = unpack(data[len(DUTY_PREFIX) :])
        if fields[0] == _Kind.NOTICE:
            return _decode_notice(*fields[1:])
        if fields[0] == _Kind.REPORT:
            return _decode_report(*fields[1:])
        raise ValueError("unknown kind of message")


def _decode_notice(
    holder: str, fencing: int, offset: float | None, fixed_through: int
) -> DutyNotice:
    return DutyNotice(
        holder=str(holder),
        fencing=int(fencing),
        clock_offset_s=_decode_time(offset),
        fixed_through=int(fixed_through),
    )


def _decode_report(
    instance: str,
    incarnation: int,
    sequence: int,
    as_of: float,
    wall_offset_s: float,
    clock_offset_s: float | None,
    windows: dict[str, dict[str, int]],
    demand: dict[str, list[float]],
) -> DutyReport:
    return DutyReport(
        instance=str(instance),
        incarnation=int(incarnation),
        sequence=int(sequence),
        as_of=float(as_of),
        wall_offset_s=float(wall_offset_s),
        clock_offset_s=_decode_time(clock_offset_s),
        windows={
            int(window): {str(name): int(count) for name, count in counts.items()}
            for window, counts in windows.items()
        },
        demand={str(service): _decode_demand(*values) for service, values in demand.items()},
    )


def _round_time(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _decode_time(value: float | None) -> float | None:
    return None if value is None else float(value)


def _encode_demand(demand: ServiceDemand) -> list[Any]:
    return [
        demand.requests,
        round(demand.prefill_tokens),
        round(demand.output_tokens),
        demand.rejected,
        demand.late,
    ]


def _decode_demand(
    requests: int, prefill_tokens: int, output_tokens: int, rejected: int, late: int
) -> ServiceDemand:
    return ServiceDemand(
        requests=int(requests),
        prefill_tokens=float(prefill_tokens),
        output_tokens=float(output_tokens),
        rejected=int(rejected),
        late=int(late),
    )

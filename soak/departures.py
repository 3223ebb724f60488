"""Departures of instances, and the check of what their callers on kept connections get."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from soak.guarantees import (
    NOT_RUN_STATUSES,
    RequestRecord,
    SoakRecord,
    is_undisturbed,
    list_lethal_outages,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

ADDRESS_VALIDITY_S: Final = 3.0
"""Seconds after the signal for which callers may hold the address of a leaving instance."""
LAST_SHARE: Final = 1 / 6
"""Last share of the grace time, in which an engine's work on a request may be cut."""
LOSS_SLACK_S: Final = 0.2
"""Seconds within which a connection may close under a request that no engine got."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DepartureRecord:
    """What is known of the stops of a run's instances."""

    signals: dict[str, list[float]]
    """Times of SIGTERM by the address of the instance."""
    grace_s: float
    """Seconds from SIGTERM until the platform would kill a process."""
    run_ends: dict[str, float] = field(default_factory=dict)
    """Times at which engines had sent whole responses, by request id."""


def find_departure_violations(record: SoakRecord, departures: DepartureRecord) -> list[str]:
    """Return the requests on kept connections that were lost, though all work was planned."""
    disruptions = record.disruptions + list_lethal_outages(record)
    ran = {run.request_id for run in record.runs}
    return [
        _describe(request, departures)
        for request in record.requests
        if request.kept
        and request.ended_at < record.ended_at
        and is_undisturbed(disruptions, request.sent_at, request.ended_at)
        and _is_lost(request, has_run=request.request_id in ran)
        and not _is_excused(request, departures)
    ]


def _is_lost(request: RequestRecord, *, has_run: bool) -> bool:
    if request.status is None:
        return has_run or request.ended_at - request.sent_at > LOSS_SLACK_S
    if request.status == 200:
        return not request.served
    return request.status >= 500 and request.status not in NOT_RUN_STATUSES


def _is_excused(request: RequestRecord, departures: DepartureRecord) -> bool:
    """Return whether it was sent early, and its engine still worked at the end of the grace."""
    run_ended_at = departures.run_ends.get(request.request_id, float("inf"))
    cut_at = min(request.ended_at, run_ended_at)
    return any(
        request.sent_at < signalled_at + ADDRESS_VALIDITY_S
        and cut_at >= signalled_at + (1.0 - LAST_SHARE) * departures.grace_s
        for signalled_at in departures.signals.get(request.address, ())
    )


def _describe(request: RequestRecord, departures: DepartureRecord) -> str:
    signals = departures.signals.get(request.address, ())
    offsets = _list_offsets(request, (at for at in signals if at <= request.ended_at))
    result = "no answer" if request.status is None else f"{request.status}, cut"
    return f"{request.request_id} ({request.kind}) on a kept connection: {result}{offsets}"


def _list_offsets(request: RequestRecord, signals: Iterable[float]) -> str:
    """Return when a request was sent and ended, in seconds after the last signal."""
    last = max(signals, default=None)
    if last is None:
        return ", though its instance got no signal"
    sent_s, ended_s = request.sent_at - last, request.ended_at - last
    return f", sent {sent_s:.2f} s and ended {ended_s:.2f} s after SIGTERM"

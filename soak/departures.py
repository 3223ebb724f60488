"""Departures of instances, and the check of what their callers on kept connections get."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
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

    from guavamast.platform.standins.engine import EngineStandIn

ADDRESS_VALIDITY_S: Final = 3.0
"""Seconds after the signal for which callers may hold the address of a leaving instance."""
LAST_SHARE: Final = 1 / 6
"""Last share of the grace time, in which an engine's work on a request may be cut."""
LOSS_SLACK_S: Final = 0.2
"""Seconds within which a connection may close under a request that no engine got."""


class Outcome(StrEnum):
    """What became of a request, as the rule on losses around planned work judges it."""

    SERVED = "served"
    REJECTED = "rejected"
    """Its caller was told that it has not run, or it ended at once without a run."""
    EXPIRED = "expired"
    """Its own time was up."""
    EXCUSED = "excused"
    """Cut, though allowed: it was sent early, and its engine worked on it in the last share of the
    grace time."""
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class DepartureRecord:
    """What is known of the stops of a run's instances."""

    signals: dict[str, list[float]]
    """Times of SIGTERM by the address of the instance."""
    grace_s: float
    """Seconds from SIGTERM until the platform would kill a process."""
    run_ends: dict[str, float] = field(default_factory=dict)
    """Times at which the work of engines ended, by request id; see `find_run_ends`."""
    timeouts_s: dict[str, float] = field(default_factory=dict)
    """Seconds after which the time of a request is up, by request id."""


def find_run_ends(engines: Iterable[EngineStandIn]) -> dict[str, float]:
    """Return when the last run of each request ended, whole or not, as its engine saw it.

    Requests are left out of which an engine may still run one.

    Args:
        engines: All engines of the run, also those that have ended.
    """
    begun: Counter[str] = Counter()
    ends: dict[str, list[float]] = {}
    for engine in engines:
        begun.update(run.request_id for run in engine.runs)
        for run in (*engine.completed, *engine.aborted):
            ends.setdefault(run.request_id, []).append(run.ended)
    return {name: max(times) for name, times in ends.items() if len(times) >= begun[name]}


def classify(request: RequestRecord, departures: DepartureRecord, *, has_run: bool) -> Outcome:
    """Return what became of a request.

    Args:
        request: The request, with the times of its sender.
        departures: Stops of the instances, and the times of the engines.
        has_run: Whether an engine began to run it.
    """
    if request.status == 200 and request.complete and request.body != request.expected_body:
        return Outcome.LOST
    if not _is_lost(request, has_run=has_run):
        return Outcome.SERVED if request.served else Outcome.REJECTED
    timeout_s = departures.timeouts_s.get(request.request_id, float("inf"))
    if request.ended_at - request.sent_at >= timeout_s:
        return Outcome.EXPIRED
    if not has_run and not request.complete:
        return Outcome.LOST
    return Outcome.EXCUSED if _is_excused(request, departures) else Outcome.LOST


def find_departure_violations(record: SoakRecord, departures: DepartureRecord) -> list[str]:
    """Return the requests on kept connections that were lost, though all work was planned."""
    disruptions = record.disruptions + list_lethal_outages(record)
    ran = {run.request_id for run in record.runs}
    return [
        describe(request, departures)
        for request in record.requests
        if request.kept
        and request.ended_at < record.ended_at
        and is_undisturbed(disruptions, request.sent_at, request.ended_at)
        and classify(request, departures, has_run=request.request_id in ran) is Outcome.LOST
    ]


def _is_lost(request: RequestRecord, *, has_run: bool) -> bool:
    rejected = request.status in NOT_RUN_STATUSES
    if request.status is None or (rejected and not request.complete):
        return has_run or request.ended_at - request.sent_at > LOSS_SLACK_S
    if request.status == 200:
        return not request.served
    return request.status >= 500 and not rejected


def _is_excused(request: RequestRecord, departures: DepartureRecord) -> bool:
    """Return whether it was sent early, and its engine still worked at the end of the grace."""
    run_ended_at = departures.run_ends.get(request.request_id, float("inf"))
    cut_at = min(request.ended_at, run_ended_at)
    return any(
        request.sent_at < signalled_at + ADDRESS_VALIDITY_S
        and cut_at >= signalled_at + (1.0 - LAST_SHARE) * departures.grace_s
        for signalled_at in departures.signals.get(request.address, ())
    )


def describe(request: RequestRecord, departures: DepartureRecord) -> str:
    """Return a line on the end of a request, with seconds after its instance's last signal."""
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

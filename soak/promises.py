"""Checks of the requests that callers and engines recorded against the guarantees."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
"""Statuses that state that a request has not run and never will."""
DENIAL_STATUSES: Final = (401, 403, 404)
REVOKE_S: Final = 2.0
"""Time after which a revoked key must be rejected, unless a run has another bound."""
DRAIN_S: Final = 2.0
"""Time after which a leaving engine must receive no requests."""
SETTLED_AFTER_S: Final = 3.5
"""Time without a disruption after which the bounds in seconds hold."""
RECOVERED_SHARE: Final = 0.9
"""Share of the requests after the recovery that must succeed, as all faults are over by then."""


class RequestKind(StrEnum):
    """Kind of a request: how often it may run and how its response arrives."""

    CALL = "call"
    """Runs at most once."""
    LOOKUP = "lookup"
    STREAM = "stream"
    """Runs at most once."""
    RESUMABLE = "resumable"

    @property
    def at_most_once(self) -> bool:
        """Whether a second run violates a guarantee."""
        return self in (RequestKind.CALL, RequestKind.STREAM)


@dataclass(frozen=True, slots=True, kw_only=True)
class Asked:
    """One request as its caller recorded it."""

    request_id: str
    kind: RequestKind
    organisation: str
    sent: float
    ended: float
    status: int | None
    """None if no status was received."""
    answer_id: str | None
    """Request id in the response."""
    body: bytes
    expected: bytes
    """Complete body that an engine sends for the request."""
    whole: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """One run as an engine recorded it."""

    request_id: str
    engine: str
    organisation: str
    began: float
    intact: bool
    """Whether method, target and body were the caller's, and no API key was forwarded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Time span of a disruption or a drain."""

    began: float
    ended: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Everything that was recorded in a soak run."""

    asked: list[Asked]
    ran: list[Ran]
    revoked: dict[str, float]
    """Time at which each organisation's key was revoked."""
    drains: dict[str, list[Span]]
    """Spans from the listing as draining to the listing as ready, by engine."""
    disruptions: list[Span]
    outer_disruptions: list[Span]
    """Disruptions of the store, links and engines: all but those of instances."""
    revoke_s: float
    """Time after which a revoked key must be rejected in this run."""
    recovered: float
    """Time from which all requests must be served again."""
    ended: float
    """Time at which callers stopped sending and the site was shut down."""


def check(record: Record) -> list[str]:
    """Return each violated guarantee with the request that shows it."""
    runs: dict[str, list[Ran]] = defaultdict(list)
    for run in record.ran:
        runs[run.request_id].append(run)
    violations = []
    for request in record.asked:
        violations += _check_response(request)
        violations += _check_undisturbed(request, record)
        violations += _check_runs(request, runs[request.request_id])
    sent_at = {request.request_id: request.sent for request in record.asked}
    for run in record.ran:
        if run.request_id not in sent_at:
            violations.append(f"{run.request_id}: ran at {run.engine}, though nobody asked for it")
            continue
        violations += _check_run(run, sent_at[run.request_id], record)
    return violations + _check_recovery(record)


def _check_response(request: Asked) -> list[str]:
    name = f"{request.request_id} ({request.kind})"
    if request.status is None or request.status >= 300:
        if request.status in DENIAL_STATUSES and not request.organisation.startswith("revocable"):
            return [f"{name}: denied with {request.status}"]
        return []
    violations = []
    if request.answer_id != request.request_id:
        violations.append(f"{name}: got the answer to {request.answer_id}")
    if request.whole and request.body != request.expected:
        violations.append(f"{name}: complete response with a wrong body {request.body[:80]!r}")
    if not request.expected.startswith(request.body):
        violations.append(
            f"{name}: response is no prefix of the expected body: {request.body[:80]!r}"
        )
    return violations


def _check_undisturbed(request: Asked, record: Record) -> list[str]:
    """Check that no request fails during planned work: stops, reloads, changes and drains."""
    if request.ended >= record.ended or not _is_undisturbed(
        record.disruptions, request.sent, request.ended
    ):
        return []
    if request.status is None or (request.status == 200 and not request.whole):
        return [
            f"{request.request_id} ({request.kind}): no full response, though nothing was disturbed"
        ]
    if request.status >= 500 and request.status not in NOT_RUN_STATUSES:
        return [
            f"{request.request_id} ({request.kind}): {request.status}, though nothing was disturbed"
        ]
    return []


def _check_runs(request: Asked, runs: list[Ran]) -> list[str]:
    name = f"{request.request_id} ({request.kind})"
    if request.kind.at_most_once and len(runs) > 1:
        return [f"{name}: ran {len(runs)} times, at {[run.engine for run in runs]}"]
    if request.kind.at_most_once and request.status in NOT_RUN_STATUSES and runs:
        return [f"{name}: refused as not run with {request.status}, and ran"]
    if len({run.engine for run in runs}) > 2:
        return [f"{name}: sent to {len(runs)} engines, two are allowed"]
    return [
        f"{name}: ran as {run.organisation}"
        for run in runs
        if run.organisation != request.organisation
    ]


def _check_run(run: Ran, sent_at: float, record: Record) -> list[str]:
    violations = []
    if not run.intact:
        violations.append(f"{run.request_id}: changed on its way")
    revoked = record.revoked.get(run.organisation)
    if revoked is not None and sent_at > revoked + record.revoke_s:
        late_s = sent_at - revoked
        violations.append(
            f"{run.request_id}: ran, sent {late_s:.2f} s after its key was taken away"
        )
    for drain in record.drains.get(run.engine, []):
        # Only external disruptions count: a disrupted instance rereads stale state before it sends.
        undisturbed = _is_undisturbed(record.outer_disruptions, run.began, run.began)
        if undisturbed and drain.began + DRAIN_S < run.began < drain.ended:
            late_s = run.began - drain.began
            violations.append(f"{run.request_id}: ran at {run.engine} {late_s:.2f} s after it left")
    return violations


def _is_undisturbed(disruptions: list[Span], started_at: float, ended_at: float) -> bool:
    """Return whether a time span and ``SETTLED_AFTER_S`` before it had no disruption."""
    return not any(
        span.began <= ended_at and started_at - SETTLED_AFTER_S <= span.ended
        for span in disruptions
    )


def _check_recovery(record: Record) -> list[str]:
    last_requests = [
        request
        for request in record.asked
        if request.sent >= record.recovered and request.organisation not in record.revoked
    ]
    succeeded = sum(request.status == 200 and request.whole for request in last_requests)
    if succeeded < RECOVERED_SHARE * len(last_requests) or not last_requests:
        return [f"only {succeeded} of the last {len(last_requests)} requests were answered"]
    return []

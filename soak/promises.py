"""Checks what callers and engines have seen against what is promised."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
"""Statuses which say that a request has not run and never will."""
DENIALS: Final = (401, 403, 404)
REVOKE_S: Final = 2.0
"""Time after which a revoked key must not work, unless a run has another bound."""
DRAIN_S: Final = 2.0
"""Time after which an engine that leaves gets nothing more."""
CALM_S: Final = 3.5
"""Time without a disruption after which bounds in seconds hold."""
SERVED_AT_LAST: Final = 0.9
"""Share of the requests of the last seconds that must be answered: all faults are over by then."""


class RequestKind(StrEnum):
    """What may be done with a request."""

    CALL = "call"
    """Runs once at most."""
    LOOKUP = "lookup"
    STREAM = "stream"
    """Runs once at most."""
    RESUMABLE = "resumable"

    @property
    def once(self) -> bool:
        """Whether a second run is harmful."""
        return self in (RequestKind.CALL, RequestKind.STREAM)


@dataclass(frozen=True, slots=True, kw_only=True)
class Asked:
    """One request as its caller saw it."""

    request_id: str
    kind: RequestKind
    organisation: str
    sent: float
    ended: float
    status: int | None
    """None when the connection ended without a status."""
    answer_id: str | None
    """The id that the answer carried."""
    body: bytes
    expected: bytes
    """The whole body that the request's engine gives."""
    whole: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """One run as an engine saw it."""

    request_id: str
    engine: str
    organisation: str
    began: float
    intact: bool
    """Whether method, target and body were the caller's, and no key came along."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """A time in which something was disturbed."""

    began: float
    ended: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """All that was seen in a run."""

    asked: list[Asked]
    ran: list[Ran]
    revoked: dict[str, float]
    """When each organisation's key was taken away."""
    drains: dict[str, list[Span]]
    """From the listing as leaving to the listing as ready, by engine."""
    disruptions: list[Span]
    outer_disruptions: list[Span]
    """Those of the store, of links and of engines: all but the instances' own."""
    revoke_s: float
    """Time after which a revoked key must not work in this run."""
    recovered: float
    """From when on everything must be served again."""
    ended: float
    """When callers stopped asking and the site was taken down."""


def check(record: Record) -> list[str]:
    """Return each broken promise with the request that shows it."""
    runs: dict[str, list[Ran]] = defaultdict(list)
    for run in record.ran:
        runs[run.request_id].append(run)
    broken = []
    for asked in record.asked:
        broken += _check_answer(asked)
        broken += _check_calm(asked, record)
        broken += _check_runs(asked, runs[asked.request_id])
    sent = {asked.request_id: asked.sent for asked in record.asked}
    for run in record.ran:
        if run.request_id not in sent:
            broken.append(f"{run.request_id}: ran at {run.engine}, though nobody asked for it")
            continue
        broken += _check_run(run, sent[run.request_id], record)
    return broken + _check_recovery(record)


def _check_answer(asked: Asked) -> list[str]:
    name = f"{asked.request_id} ({asked.kind})"
    if asked.status is None or asked.status >= 300:
        if asked.status in DENIALS and not asked.organisation.startswith("revocable"):
            return [f"{name}: denied with {asked.status}"]
        return []
    broken = []
    if asked.answer_id != asked.request_id:
        broken.append(f"{name}: got the answer to {asked.answer_id}")
    if asked.whole and asked.body != asked.expected:
        broken.append(f"{name}: a whole answer with a wrong body {asked.body[:80]!r}")
    if not asked.expected.startswith(asked.body):
        broken.append(f"{name}: a part of the answer is wrong {asked.body[:80]!r}")
    return broken


def _check_calm(asked: Asked, record: Record) -> list[str]:
    """Nothing fails while only planned work goes on: stops, reloads, changes and drains."""
    if asked.ended >= record.ended or not _is_calm(record.disruptions, asked.sent, asked.ended):
        return []
    if asked.status is None or (asked.status == 200 and not asked.whole):
        return [f"{asked.request_id} ({asked.kind}): no whole answer, though nothing was disturbed"]
    if asked.status >= 500 and asked.status not in NOT_RUN_STATUSES:
        return [f"{asked.request_id} ({asked.kind}): {asked.status}, though nothing was disturbed"]
    return []


def _check_runs(asked: Asked, runs: list[Ran]) -> list[str]:
    name = f"{asked.request_id} ({asked.kind})"
    if asked.kind.once and len(runs) > 1:
        return [f"{name}: ran {len(runs)} times, at {[run.engine for run in runs]}"]
    if asked.kind.once and asked.status in NOT_RUN_STATUSES and runs:
        return [f"{name}: refused as not run with {asked.status}, and ran"]
    if len({run.engine for run in runs}) > 2:
        return [f"{name}: sent to {len(runs)} engines, two are allowed"]
    return [
        f"{name}: ran as {run.organisation}"
        for run in runs
        if run.organisation != asked.organisation
    ]


def _check_run(run: Ran, sent: float, record: Record) -> list[str]:
    broken = []
    if not run.intact:
        broken.append(f"{run.request_id}: changed on its way")
    revoked = record.revoked.get(run.organisation)
    if revoked is not None and sent > revoked + record.revoke_s:
        late = sent - revoked
        broken.append(f"{run.request_id}: ran, asked for {late:.2f} s after its key was taken away")
    for drain in record.drains.get(run.engine, []):
        # Whatever befalls an instance itself, it reads before it sends by what is too old.
        calm = _is_calm(record.outer_disruptions, run.began, run.began)
        if calm and drain.began + DRAIN_S < run.began < drain.ended:
            late = run.began - drain.began
            broken.append(f"{run.request_id}: ran at {run.engine} {late:.2f} s after it left")
    return broken


def _is_calm(disruptions: list[Span], began: float, ended: float) -> bool:
    """Return whether nothing was disturbed in a time and for a while before it."""
    return not any(span.began <= ended and began - CALM_S <= span.ended for span in disruptions)


def _check_recovery(record: Record) -> list[str]:
    last = [
        asked
        for asked in record.asked
        if asked.sent >= record.recovered and asked.organisation not in record.revoked
    ]
    served = sum(asked.status == 200 and asked.whole for asked in last)
    if served < SERVED_AT_LAST * len(last) or not last:
        return [f"only {served} of the last {len(last)} requests were answered"]
    return []

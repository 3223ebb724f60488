"""Checks of the requests that callers and engines recorded against the guarantees."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.lethal_requests import LETHAL_DELAY_S
from guavamast.platform.standins.site import CRASH_RESTART_S

if TYPE_CHECKING:
    from soak.partition_record import PartitionRecord

NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
"""Statuses that state that a request has not run and never will."""
LEARNING_STATUS: Final = 503
"""Status with which requests are rejected until a new scheduler knows all work."""
LEARNING_BOUND_S: Final = 1.5
"""Time after the start of an instance by which its schedulers know all work."""
DENIAL_STATUSES: Final = (401, 403, 404)
REVOKE_BOUND_S: Final = 2.0
"""Time after which a revoked key must be rejected, unless a run has another bound."""
DRAIN_BOUND_S: Final = 2.0
"""Time after which a leaving engine must receive no requests."""
SPREAD_BOUND_S: Final = 3.0
"""Time in which all instances must know what one of them has learned."""
MAX_LETHAL_ENDS: Final = 3
"""Engines that may end under a request before it must be kept from them."""
MAX_LATER_LETHAL_RUNS: Final = 3
"""Runs of such a request that may begin later."""
MAX_PART_ENDS: Final = 5
"""Engines that may end under a part of prompts before it must be kept from them."""
MAX_LATER_PART_RUNS: Final = 1
"""Runs with such a part that may begin later: less than half of the three that are allowed."""
LETHAL_OUTAGE_S: Final = LETHAL_DELAY_S + CRASH_RESTART_S
"""Time from the begin of a lethal run until another engine has replaced the one that it ends."""
SETTLED_AFTER_S: Final = 3.5
"""Time without a disruption after which the bounds in seconds hold."""
PARTITIONED_SHARE: Final = 2 / 3
"""Share of the other instances' success that instances partitioned from engines must reach."""
PARTITIONED_SLACK: Final = 10
PARTITIONED_SLACK_SHARE: Final = 1 / 50
"""Requests, and their share, that may fail there in any case."""
LOOKUP_BOUND_S: Final = 1.0
"""Time that an undisturbed lookup takes at most beside slow readers: ten times the usual one."""
HELD_UP_SHARE: Final = 0.05
"""Share of the lookups that may take longer, on a busy machine."""
HELD_UP_SLACK: Final = 3
"""Lookups that may take longer in any case."""
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
class RequestRecord:
    """One request as its caller recorded it."""

    request_id: str
    kind: RequestKind
    organisation: str
    sent_at: float
    ended_at: float
    status: int | None
    """None if no status was received."""
    response_id: str | None
    """Request id in the response."""
    body: bytes
    expected_body: bytes
    """Complete body that an engine sends for the request."""
    complete: bool
    quarantined: bool = False
    """Whether it was refused for its content."""
    address: str = ""
    """Address of the instance that it was sent to."""
    versions: frozenset[str] = frozenset()
    """Software versions of the engines that made the events of the response."""
    left: bool = False
    """Whether its caller left in the middle of the response."""
    anywhere: bool = False
    """Whether it was sent to any instance, also to one that has stopped or isn't listed."""
    kept: bool = False
    """Whether it was sent on a connection that its caller uses until that ends."""

    @property
    def served(self) -> bool:
        """Whether its response was complete, or its caller had what it wanted of it."""
        return self.status == 200 and (self.complete or self.left)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """One run as an engine recorded it."""

    request_id: str
    engine: str
    organisation: str
    started_at: float
    unmodified: bool
    """Whether method, target and body were the caller's, and no API key was forwarded."""
    lethal: bool = False
    """Whether the request ends the engines that run it."""
    lethal_part: str | None = None
    """The part of its prompt that ends them; None if the whole request does."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Time span of a disruption or a drain."""

    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakRecord:
    """Everything that was recorded in a soak run."""

    requests: list[RequestRecord]
    runs: list[RunRecord]
    revoked: dict[str, float]
    """Time at which each organisation's key was revoked."""
    drains: dict[str, list[Span]]
    """Spans from the listing as draining to the listing as ready, by engine."""
    disruptions: list[Span]
    external_disruptions: list[Span]
    """Disruptions of the store, links and engines: all but those of instances."""
    revoke_s: float
    """Time after which a revoked key must be rejected in this run."""
    instance_disruptions: dict[str, list[Span]]
    """Disruptions of the instance that took each lethal request, by request id."""
    recovered_at: float
    """Time from which all requests must be served again."""
    ended_at: float
    """Time at which callers stopped sending and the site was shut down."""
    late_starts: list[Span] = field(default_factory=list)
    """For each killed instance that started during the recovery, a span in which it did."""
    partitions: list[PartitionRecord] = field(default_factory=list)
    memory_peaks: dict[str, int] = field(default_factory=dict)
    """Bytes that each instance used at most, by its name."""
    memory_bytes: int = 0
    """Bytes beyond which an instance's process would be killed; 0 without slow readers."""


def find_violations(record: SoakRecord) -> list[str]:
    """Return each violated guarantee with the request that shows it."""
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    violations = []
    for request in record.requests:
        violations += _check_response(request)
        violations += _check_undisturbed(request, record)
        violations += _check_runs(request, runs[request.request_id])
    sent_at = {request.request_id: request.sent_at for request in record.requests}
    for run in record.runs:
        if run.lethal:
            continue
        if run.request_id not in sent_at:
            violations.append(f"{run.request_id}: ran at {run.engine}, though nobody asked for it")
            continue
        violations += _check_run(run, sent_at[run.request_id], record)
    for partition in record.partitions:
        violations += _check_partition(record.requests, partition)
    if record.memory_bytes:
        violations += _check_memory(record) + _check_lookups(record)
    return violations + _check_containment(record) + _check_recovery(record)


def _check_memory(record: SoakRecord) -> list[str]:
    """Check that no instance holds more than its memory for callers that read slowly."""
    return [
        f"{name}: used {peak} bytes of memory, {record.memory_bytes} are allowed"
        for name, peak in record.memory_peaks.items()
        if peak > record.memory_bytes
    ]


def _check_lookups(record: SoakRecord) -> list[str]:
    """Check that lookups of callers that read at once aren't held up by those that don't."""
    took_s = [
        request.ended_at - request.sent_at
        for request in record.requests
        if request.kind is RequestKind.LOOKUP
        and not request.anywhere
        and request.ended_at < record.ended_at
        and is_undisturbed(record.disruptions, request.sent_at, request.ended_at)
    ]
    held_up = sum(one > LOOKUP_BOUND_S for one in took_s)
    if held_up <= HELD_UP_SLACK + HELD_UP_SHARE * len(took_s):
        return []
    return [f"{held_up} of {len(took_s)} lookups took longer than {LOOKUP_BOUND_S} s"]


def _check_response(request: RequestRecord) -> list[str]:
    name = f"{request.request_id} ({request.kind})"
    if request.status is None or request.status >= 300:
        if request.status in DENIAL_STATUSES and not request.organisation.startswith("revocable"):
            return [f"{name}: denied with {request.status}"]
        if request.quarantined:
            return [f"{name}: refused for its content, though no engine ended under it"]
        return []
    violations = []
    if request.response_id != request.request_id:
        violations.append(f"{name}: got the answer to {request.response_id}")
    if len(request.versions) > 1:
        violations.append(f"{name}: events of {sorted(request.versions)} in one answer")
    if request.complete and request.body != request.expected_body:
        violations.append(f"{name}: complete response with a wrong body {request.body[:80]!r}")
    if not request.expected_body.startswith(request.body):
        violations.append(
            f"{name}: response is no prefix of the expected body: {request.body[:80]!r}"
        )
    return violations


def _check_undisturbed(request: RequestRecord, record: SoakRecord) -> list[str]:
    """Check that no request fails during planned work: stops, reloads, changes and drains.

    Those on kept connections are checked against the departures of their instances.
    """
    disruptions = record.disruptions + list_lethal_outages(record)
    if (
        request.kept
        or request.ended_at >= record.ended_at
        or not is_undisturbed(disruptions, request.sent_at, request.ended_at)
    ):
        return []
    if request.status is None and request.anywhere:
        return []
    if request.status is None or (request.status == 200 and not request.served):
        return [
            f"{request.request_id} ({request.kind}): no full response, though nothing was disturbed"
        ]
    if request.status >= 500 and request.status not in NOT_RUN_STATUSES:
        return [
            f"{request.request_id} ({request.kind}): {request.status}, though nothing was disturbed"
        ]
    return []


def _check_runs(request: RequestRecord, runs: list[RunRecord]) -> list[str]:
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


def _check_run(run: RunRecord, sent_at: float, record: SoakRecord) -> list[str]:
    violations = []
    if not run.unmodified:
        violations.append(f"{run.request_id}: changed on its way")
    revoked = record.revoked.get(run.organisation)
    if revoked is not None and sent_at > revoked + record.revoke_s:
        late_s = sent_at - revoked
        violations.append(
            f"{run.request_id}: ran, sent {late_s:.2f} s after its key was taken away"
        )
    for drain in record.drains.get(run.engine, []):
        # Only external disruptions count: a disrupted instance rereads stale state before it sends.
        undisturbed = is_undisturbed(record.external_disruptions, run.started_at, run.started_at)
        if undisturbed and drain.started_at + DRAIN_BOUND_S < run.started_at < drain.ended_at:
            late_s = run.started_at - drain.started_at
            violations.append(f"{run.request_id}: ran at {run.engine} {late_s:.2f} s after it left")
    return violations


def list_lethal_outages(record: SoakRecord) -> list[Span]:
    """Return the times in which engines were missing that a request had ended."""
    return [
        Span(started_at=run.started_at, ended_at=run.started_at + LETHAL_OUTAGE_S)
        for run in record.runs
        if run.lethal
    ]


def is_undisturbed(
    disruptions: list[Span], started_at: float, ended_at: float, *, after_s: float = SETTLED_AFTER_S
) -> bool:
    """Return whether a time span and ``after_s`` before it had no disruption."""
    return not any(
        span.started_at <= ended_at and started_at - after_s <= span.ended_at
        for span in disruptions
    )


def find_common_spans(spans_by_instance: list[list[Span]]) -> list[Span]:
    """Return the spans in which every instance was disrupted, so that none could serve.

    Args:
        spans_by_instance: Disruptions of each instance.
    """
    common, *others = spans_by_instance
    for spans in others:
        common = [
            Span(
                started_at=max(one.started_at, other.started_at),
                ended_at=min(one.ended_at, other.ended_at),
            )
            for one in common
            for other in spans
            if max(one.started_at, other.started_at) < min(one.ended_at, other.ended_at)
        ]
    return common


def _check_containment(record: SoakRecord) -> list[str]:
    """Check that a request that ended engines is kept from them once all instances must know.

    Only instances count that ran without a disruption, of themselves or of their way to the store,
    for as long as they have to learn of it.
    """
    whole = [run for run in record.runs if run.lethal and run.lethal_part is None]
    runs = sorted(whole, key=lambda run: run.started_at)
    if len(runs) <= MAX_LETHAL_ENDS:
        return []
    learned_at = runs[MAX_LETHAL_ENDS - 1].started_at + SPREAD_BOUND_S
    later = sum(
        run.started_at > learned_at
        and is_undisturbed(
            record.instance_disruptions[run.request_id],
            run.started_at,
            run.started_at,
            after_s=SPREAD_BOUND_S,
        )
        for run in runs
    )
    if later <= MAX_LATER_LETHAL_RUNS:
        return []
    return [f"a request under which {MAX_LETHAL_ENDS} engines had ended ran {later} times more"]


def find_fifth_end(runs: list[RunRecord]) -> float | None:
    """Return when the fifth of some lethal runs ended its engine; None if there are fewer.

    Of several runs at an engine, the first ends it.
    """
    first_runs: dict[str, float] = {}
    for run in sorted(runs, key=lambda run: run.started_at):
        first_runs.setdefault(run.engine, run.started_at)
    ends = sorted(first_runs.values())
    return ends[MAX_PART_ENDS - 1] + LETHAL_DELAY_S if len(ends) >= MAX_PART_ENDS else None


def _check_partition(requests: list[RequestRecord], partition: PartitionRecord) -> list[str]:
    """Check that partitioned instances serve their callers nearly as often as the others."""
    span = partition.span
    sent = [
        request
        for request in requests
        if span.started_at + SPREAD_BOUND_S <= request.sent_at
        and request.ended_at <= span.ended_at
        and not request.anywhere
    ]
    there = [request.served for request in sent if request.address in partition.addresses]
    others = [request.served for request in sent if request.address in partition.others]
    failed = len(there) - sum(there)
    if not there or not others or failed <= PARTITIONED_SLACK + PARTITIONED_SLACK_SHARE * len(sent):
        return []
    if sum(there) / len(there) >= PARTITIONED_SHARE * sum(others) / len(others):
        return []
    return [
        f"partitioned instances served {sum(there)} of {len(there)} requests, "
        f"the others {sum(others)} of {len(others)}"
    ]


def _check_recovery(record: SoakRecord) -> list[str]:
    last_requests = [
        request
        for request in record.requests
        if request.sent_at >= record.recovered_at
        and request.organisation not in record.revoked
        and not request.anywhere
    ]
    # A scheduler that has just started may reject as not run what others may have granted.
    counted = [
        request
        for request in last_requests
        if request.status != LEARNING_STATUS
        or is_undisturbed(
            record.late_starts, request.sent_at, request.sent_at, after_s=LEARNING_BOUND_S
        )
    ]
    learnt_at = max((one.ended_at + LEARNING_BOUND_S for one in record.late_starts), default=0.0)
    learnt = [request for request in counted if request.sent_at >= learnt_at]
    for requests in (counted, learnt):
        succeeded = sum(request.served for request in requests)
        if succeeded < RECOVERED_SHARE * len(requests) or not requests:
            return [f"only {succeeded} of the last {len(requests)} requests were answered"]
    return []

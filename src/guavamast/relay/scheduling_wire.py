"""Encoding and decoding of scheduling messages as datagrams."""

from __future__ import annotations

from typing import Any, Final, TypeAlias

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_peer_json
from guavamast.relay.messages import PromptPart
from guavamast.relay.placement import Obstacle, ObstacleKind, RoomCheck
from guavamast.relay.requester import decode_requester
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    PlacementQuery,
    PlacementReply,
    Verdict,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)

SCHEDULING_PREFIX: Final = b"s"
"""Prefix of scheduling datagrams."""
WIRE_VERSION: Final = 7
"""Rank of the datagram format; datagrams of any other version are rejected."""

SchedulingMessage: TypeAlias = PlacementQuery | PlacementReply | WorkUpdate | WorkReport

_VERDICTS: Final = {verdict: code for code, verdict in enumerate(Verdict)}
_PHASES: Final = {phase: code for code, phase in enumerate(WorkPhase)}
_VERDICT_LIST: Final = list(Verdict)
_PHASE_LIST: Final = list(WorkPhase)


def encode_scheduling(message: SchedulingMessage) -> bytes:
    """Encode a message as a datagram."""
    encode = _ENCODERS[type(message)]
    fields = [WIRE_VERSION, *encode(message)]
    return SCHEDULING_PREFIX + encode_json(fields).encode()


def decode_scheduling(data: bytes) -> SchedulingMessage:
    """Decode a datagram.

    Raises:
        MalformedData: It is not a valid scheduling message.
    """
    with Decoding("scheduling message"):
        version, kind, *fields = decode_peer_json(data[len(SCHEDULING_PREFIX) :])
        if version != WIRE_VERSION:
            raise ValueError(f"unsupported wire version {version}")
        return _DECODERS[kind](*fields)


def _encode_query(query: PlacementQuery) -> list[Any]:
    return [
        "q",
        query.requester.instance,
        query.requester.incarnation,
        query.number,
        query.group,
        query.service,
        query.organisation,
        [[part.part_id, part.tokens] for part in query.prompt_parts],
        query.prompt_tokens,
        query.output_tokens,
        query.transfer_bytes,
        query.bucket,
        query.objective_s,
        [
            int(query.pause_sensitive),
            int(query.latency_tolerant),
            int(query.most_urgent),
            int(query.least_urgent),
            int(query.rejectable),
            # Where no endpoint states a rate limit, a query has nothing about them.
            *([1 + int(query.may_ask)] if query.knows_limits else []),
        ],
        _encode_check(query.check),
        query.precedence,
        query.failure_domain,
        query.excluded,
    ]


def _decode_query(
    instance: str,
    incarnation: int,
    number: int,
    group: str,
    service: str,
    organisation: str,
    parts: list[list[Any]],
    prompt_tokens: int,
    output_tokens: int,
    transfer_bytes: int,
    bucket: int,
    objective_s: float,
    flags: list[int],
    check: list[Any],
    precedence: int,
    failure_domain: str,
    excluded: list[str],
) -> PlacementQuery:
    pause_sensitive, latency_tolerant, most_urgent, least_urgent, rejectable = map(bool, flags[:5])
    limits = flags[5] if len(flags) > 5 else 0
    return PlacementQuery(
        requester=decode_requester(instance, incarnation),
        number=int(number),
        group=str(group),
        service=str(service),
        organisation=str(organisation),
        prompt_parts=tuple(
            PromptPart(part_id=str(part_id), tokens=int(tokens)) for part_id, tokens in parts
        ),
        prompt_tokens=int(prompt_tokens),
        output_tokens=int(output_tokens),
        transfer_bytes=int(transfer_bytes),
        bucket=int(bucket),
        objective_s=float(objective_s),
        pause_sensitive=pause_sensitive,
        latency_tolerant=latency_tolerant,
        most_urgent=most_urgent,
        least_urgent=least_urgent,
        rejectable=rejectable,
        check=_decode_check(*check),
        knows_limits=limits > 0,
        may_ask=limits > 1,
        precedence=int(precedence),
        failure_domain=str(failure_domain),
        excluded=tuple(str(one) for one in excluded),
    )


def _encode_check(check: RoomCheck) -> list[Any]:
    flags = (check.first, check.delayed, check.newly_delayed, check.last)
    times = (round(check.waited_s, 3), round(check.waited_share, 3))
    return [check.attempt, *times, *map(int, flags)]


def _decode_check(attempt: str, waited_s: float, waited_share: float, *flags: int) -> RoomCheck:
    first, delayed, newly_delayed, last = map(bool, flags)
    return RoomCheck(
        attempt=str(attempt),
        waited_s=float(waited_s),
        waited_share=float(waited_share),
        first=first,
        delayed=delayed,
        newly_delayed=newly_delayed,
        last=last,
    )


def _encode_reply(reply: PlacementReply) -> list[Any]:
    return [
        "r",
        reply.requester.instance,
        reply.requester.incarnation,
        reply.number,
        _VERDICTS[reply.verdict],
        reply.endpoint_id,
        reply.uncached_tokens,
        int(reply.own_bucket),
        round(reply.start_ms, 1),
        round(reply.waiting_ms, 1),
        round(reply.prefill_ms, 1),
        round(reply.speed, 2),
        reply.endpoint_requests,
        reply.endpoint_prefill_tokens,
        round(reply.retry_after_s, 3),
        int(reply.learning),
        _encode_obstacle(reply.obstacle),
        *([1] if reply.permitted else []),
    ]


def _decode_reply(
    instance: str,
    incarnation: int,
    number: int,
    verdict: int,
    endpoint_id: str,
    uncached_tokens: int,
    own_bucket: int,
    start_ms: float,
    waiting_ms: float,
    prefill_ms: float,
    speed: float,
    endpoint_requests: int,
    endpoint_prefill_tokens: int,
    retry_after_s: float,
    learning: int,
    obstacle: list[Any] | None,
    permitted: int = 0,
) -> PlacementReply:
    return PlacementReply(
        requester=decode_requester(instance, incarnation),
        number=int(number),
        verdict=_VERDICT_LIST[verdict],
        endpoint_id=str(endpoint_id),
        uncached_tokens=int(uncached_tokens),
        own_bucket=bool(own_bucket),
        start_ms=float(start_ms),
        waiting_ms=float(waiting_ms),
        prefill_ms=float(prefill_ms),
        speed=float(speed),
        endpoint_requests=int(endpoint_requests),
        endpoint_prefill_tokens=int(endpoint_prefill_tokens),
        retry_after_s=float(retry_after_s),
        learning=bool(learning),
        permitted=bool(permitted),
        obstacle=_decode_obstacle(*obstacle) if obstacle is not None else None,
    )


def _encode_obstacle(obstacle: Obstacle | None) -> list[Any] | None:
    if obstacle is None:
        return None
    counts = (obstacle.waiting, obstacle.open_engines, obstacle.kept_engines, obstacle.engines)
    return [str(obstacle.kind), obstacle.precedence, *counts]


def _decode_obstacle(
    kind: str,
    precedence: int | None,
    waiting: int,
    open_engines: int,
    kept_engines: int,
    engines: int,
) -> Obstacle:
    return Obstacle(
        kind=ObstacleKind(kind),
        precedence=int(precedence) if precedence is not None else None,
        waiting=int(waiting),
        open_engines=int(open_engines),
        kept_engines=int(kept_engines),
        engines=int(engines),
    )


def _encode_update(update: WorkUpdate) -> list[Any]:
    return [
        "u",
        update.requester.instance,
        update.requester.incarnation,
        update.group,
        update.number,
        _PHASES[update.phase],
        update.failure_weight,
        round(update.longest_pause_s, 4),
        round(update.mean_pause_ms, 1),
    ]


def _decode_update(
    instance: str,
    incarnation: int,
    group: str,
    number: int,
    phase: int,
    failure_weight: float,
    longest_pause_s: float,
    mean_pause_ms: float,
) -> WorkUpdate:
    return WorkUpdate(
        requester=decode_requester(instance, incarnation),
        group=str(group),
        number=int(number),
        phase=_PHASE_LIST[phase],
        failure_weight=float(failure_weight),
        longest_pause_s=float(longest_pause_s),
        mean_pause_ms=float(mean_pause_ms),
    )


def _encode_report(report: WorkReport) -> list[Any]:
    works = [
        [
            work.number,
            work.endpoint_id,
            _PHASES[work.phase],
            work.shared_part,
            work.uncached_tokens,
            work.kv_tokens,
            int(work.pause_sensitive),
            work.organisation,
            work.precedence,
        ]
        for work in report.works
    ]
    return ["w", report.requester.instance, report.requester.incarnation, report.group, works]


def _decode_report(
    instance: str, incarnation: int, group: str, works: list[list[Any]]
) -> WorkReport:
    return WorkReport(
        requester=decode_requester(instance, incarnation),
        group=str(group),
        works=tuple(_decode_work(*fields) for fields in works),
    )


def _decode_work(
    number: int,
    endpoint_id: str,
    phase: int,
    shared_part: str | None,
    uncached_tokens: int,
    kv_tokens: int,
    pause_sensitive: int,
    organisation: str,
    precedence: int,
) -> PlacedWork:
    return PlacedWork(
        number=int(number),
        endpoint_id=str(endpoint_id),
        phase=_PHASE_LIST[phase],
        shared_part=None if shared_part is None else str(shared_part),
        uncached_tokens=int(uncached_tokens),
        kv_tokens=int(kv_tokens),
        pause_sensitive=bool(pause_sensitive),
        organisation=str(organisation),
        precedence=int(precedence),
    )


_ENCODERS: Final[dict[type, Any]] = {
    PlacementQuery: _encode_query,
    PlacementReply: _encode_reply,
    WorkUpdate: _encode_update,
    WorkReport: _encode_report,
}
_DECODERS: Final[dict[str, Any]] = {
    "q": _decode_query,
    "r": _decode_reply,
    "u": _decode_update,
    "w": _decode_report,
}

"""Encoding of heartbeats and load updates as datagrams."""

from __future__ import annotations

from typing import Any, Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_ip, decode_peer_json, decode_port
from guavamast.relay.compressed_json import pack, unpack
from guavamast.relay.endpoint_load import Load
from guavamast.relay.freshness import FreshnessStamp
from guavamast.relay.heartbeat_messages import (
    AggregatedHeartbeat,
    Heartbeat,
    InstanceState,
    LivenessRecord,
    LoadUpdate,
)
from guavamast.relay.placement import (
    BUCKETS,
    PROFILE_QUANTITIES,
    AdmissionCount,
    Demand,
    Estimate,
    ProfileEstimates,
    PromptSend,
    WaitingPrecedence,
)
from guavamast.relay.sharing import OrganisationServed, OrganisationWaiting, ShareKey
from guavamast.relay.store import InstanceRecord

AGGREGATE_PREFIX: Final = b"z"
"""First byte of an aggregated heartbeat; others begin with a brace, load updates with a bracket."""
MAX_WAITING_S: Final = 3.0
"""Seconds for which another instance's waiting attempts are believed at most: above the longest
retry delay with its jitter."""
AGGREGATE_VERSION: Final = 2
"""Rank of the encoding of aggregated heartbeats; any other is rejected."""
_STATES: Final = list(InstanceState)
_STATE_CODES: Final = {state: code for code, state in enumerate(InstanceState)}


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    return encode_json(_to_fields(heartbeat)).encode()


def encode_aggregate(aggregate: AggregatedHeartbeat) -> bytes:
    """Return the datagram of an aggregated heartbeat."""
    fields = [
        AGGREGATE_VERSION,
        aggregate.aggregator,
        [
            [
                liveness.name,
                liveness.incarnation,
                liveness.sequence,
                _STATE_CODES[liveness.state],
                liveness.store_answers,
            ]
            for liveness in aggregate.liveness
        ],
        [_encode_record(record) for record in aggregate.records],
        _encode_stamp(aggregate.catalog),
        _encode_stamp(aggregate.endpoints),
        {domain: _encode_profiles(profiles) for domain, profiles in aggregate.profiles.items()},
    ]
    return AGGREGATE_PREFIX + pack(fields)


def _to_fields(heartbeat: Heartbeat) -> dict[str, Any]:
    fields = {
        "v": 1,
        "who": _encode_record(heartbeat.record),
        "inc": heartbeat.incarnation,
        "seq": heartbeat.sequence,
        "state": heartbeat.state,
        "store": heartbeat.store_reachable,
        "cat": _encode_stamp(heartbeat.catalog),
        "end": _encode_stamp(heartbeat.endpoints),
        "ask": [round(work, 1) for work in heartbeat.demand.work_ms],
        "back": _encode_rejections(heartbeat.rejections),
        "late": [round(one.delayed, 2) for one in heartbeat.rejections],
        "speed": _encode_profiles(heartbeat.profiles),
        "sent": _encode_sends(heartbeat.sends),
        "load": _encode_loads(heartbeat.loads),
    }
    if heartbeat.served:
        fields["share"] = [[*one.key, round(one.served_ms)] for one in heartbeat.served]
    return fields


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat of a datagram.

    Raises:
        MalformedData: The datagram is not a valid heartbeat.
    """
    with Decoding("heartbeat"):
        return _from_fields(decode_peer_json(data))


def _from_fields(fields: dict[str, Any]) -> Heartbeat:
    if fields["v"] != 1:
        raise ValueError("unknown version")
    return Heartbeat(
        record=_decode_record(*fields["who"]),
        incarnation=int(fields["inc"]),
        sequence=int(fields["seq"]),
        state=InstanceState(fields["state"]),
        store_reachable=bool(fields["store"]),
        catalog=_decode_stamp(fields["cat"]),
        endpoints=_decode_stamp(fields["end"]),
        loads=_decode_loads(fields["load"]),
        demand=_decode_demand(fields["ask"]),
        rejections=_decode_rejections(fields.get("back", []), fields.get("late", [])),
        profiles=_decode_profiles(fields["speed"]),
        sends=_decode_sends(fields["sent"]),
        served=_decode_served(fields.get("share", [])),
    )


def _decode_aggregate(data: bytes) -> AggregatedHeartbeat:
    with Decoding("heartbeat"):
        version, aggregator, liveness, records, catalog, endpoints, profiles = unpack(data)
        if version != AGGREGATE_VERSION:
            raise ValueError("unknown version")
        return AggregatedHeartbeat(
            aggregator=str(aggregator),
            liveness=[_decode_liveness_record(*fields) for fields in liveness],
            records=[_decode_record(*fields) for fields in records],
            catalog=_decode_stamp(catalog),
            endpoints=_decode_stamp(endpoints),
            profiles={str(key): _decode_profiles(value) for key, value in profiles.items()},
        )


def _encode_record(record: InstanceRecord) -> list[str | float]:
    return [
        record.name,
        record.ip,
        record.failure_domain,
        record.region,
        record.callers_address,
        record.peer_port,
        record.link_mbps,
        record.processor_share,
    ]


def _decode_record(
    name: str,
    ip: str,
    domain: str,
    region: str,
    address: str,
    port: int,
    link_mbps: float,
    processor_share: float,
) -> InstanceRecord:
    return InstanceRecord(
        name=str(name),
        ip=decode_ip(ip),
        failure_domain=str(domain),
        region=str(region),
        callers_address=str(address),
        peer_port=decode_port(port),
        link_mbps=float(link_mbps),
        processor_share=float(processor_share),
    )


def _decode_liveness_record(
    name: str, incarnation: int, sequence: int, state: int, store_answers: bool
) -> LivenessRecord:
    return LivenessRecord(
        name=str(name),
        incarnation=int(incarnation),
        sequence=int(sequence),
        state=_STATES[state],
        store_answers=bool(store_answers),
    )


def encode_load_update(update: LoadUpdate) -> bytes:
    """Return the datagram of a load update."""
    fields = [
        "n",
        update.instance,
        update.incarnation,
        _encode_loads(update.loads),
        _encode_sends(update.sends),
    ]
    if update.waiting:
        # A former version reads updates without this field only.
        fields.append(_encode_waiting(update.waiting))
    if update.waiting and update.organisations:
        fields.append(_encode_organisations(update.organisations))
    return encode_json(fields).encode()


def decode_message(data: bytes) -> Heartbeat | LoadUpdate | AggregatedHeartbeat:
    """Return the message of a datagram.

    Raises:
        MalformedData: The datagram is not a valid message.
    """
    if data.startswith(AGGREGATE_PREFIX):
        return _decode_aggregate(data[len(AGGREGATE_PREFIX) :])
    if not data.startswith(b'["n"'):
        return decode_heartbeat(data)
    with Decoding("heartbeat"):
        _, instance, incarnation, loads, sends, *rest = decode_peer_json(data)
        return LoadUpdate(
            instance=str(instance),
            incarnation=int(incarnation),
            loads=_decode_loads(loads),
            sends=_decode_sends(sends),
            waiting=_decode_waiting(rest[0]) if rest else [],
            organisations=_decode_organisations(rest[1]) if len(rest) > 1 else [],
        )


def _encode_waiting(waiting: list[WaitingPrecedence]) -> list[list[str | float]]:
    return [
        [
            one.service,
            one.precedence,
            one.attempts,
            int(one.delayed),
            round(one.remaining_s, 3),
        ]
        for one in waiting
    ]


def _decode_waiting(value: list[list[Any]]) -> list[WaitingPrecedence]:
    return [
        WaitingPrecedence(
            service=str(service),
            precedence=int(precedence),
            attempts=max(0, int(attempts)),
            delayed=bool(delayed),
            remaining_s=min(MAX_WAITING_S, float(remaining_s)),
        )
        for service, precedence, attempts, delayed, remaining_s in value
    ]


def _encode_organisations(waiting: list[OrganisationWaiting]) -> list[list[str | float]]:
    return [
        [*one.key, one.attempts, round(one.work_ms), round(one.remaining_s, 3)] for one in waiting
    ]


def _decode_organisations(value: list[list[Any]]) -> list[OrganisationWaiting]:
    return [
        OrganisationWaiting(
            key=ShareKey(str(service), int(precedence), str(organisation)),
            attempts=max(0, int(attempts)),
            work_ms=max(0.0, float(work_ms)),
            remaining_s=min(MAX_WAITING_S, float(remaining_s)),
        )
        for service, precedence, organisation, attempts, work_ms, remaining_s in value
    ]


def _decode_served(value: list[list[Any]]) -> list[OrganisationServed]:
    return [
        OrganisationServed(
            key=ShareKey(str(service), int(precedence), str(organisation)),
            served_ms=max(0.0, float(served_ms)),
        )
        for service, precedence, organisation, served_ms in value
    ]


def _encode_loads(loads: dict[str, Load]) -> dict[str, list[int]]:
    return {
        key: [load.requests, load.prefill_tokens, load.kv_tokens, load.pause_sensitive]
        for key, load in loads.items()
    }


def _decode_loads(value: dict[str, list[int]]) -> dict[str, Load]:
    return {
        str(key): Load(
            requests=int(entry[0]),
            prefill_tokens=int(entry[1]),
            kv_tokens=int(entry[2]),
            pause_sensitive=int(entry[3]),
        )
        for key, entry in value.items()
    }


def _encode_sends(sends: list[PromptSend]) -> list[list[str | int]]:
    return [[send.number, send.endpoint_id, send.part_id, send.tokens] for send in sends]


def _decode_sends(value: list[list[str]]) -> list[PromptSend]:
    return [
        PromptSend(
            number=int(number),
            endpoint_id=str(endpoint_id),
            part_id=str(part_id),
            tokens=int(tokens),
        )
        for number, endpoint_id, part_id, tokens in value
    ]


def _decode_demand(value: list[float]) -> Demand:
    if len(value) != BUCKETS:
        raise ValueError("unknown number of length buckets")
    return Demand(work_ms=tuple(float(work) for work in value))


def _encode_rejections(rejections: list[AdmissionCount]) -> list[list[str | float]]:
    return [
        [
            one.service,
            one.precedence,
            round(one.requests, 2),
            round(one.rejected, 2),
            round(one.wait_ms, 1),
        ]
        for one in rejections
    ]


def _decode_rejections(counts: list[list[Any]], delayed: list[float]) -> list[AdmissionCount]:
    """Return the counts of a heartbeat; a former version tells no delays."""
    delays = delayed or [0.0] * len(counts)
    return [
        AdmissionCount(
            service=str(service),
            precedence=int(precedence),
            requests=max(0.0, float(requests)),
            delayed=max(0.0, float(delay)),
            rejected=max(0.0, float(rejected)),
            wait_ms=max(0.0, float(wait_ms)),
        )
        for (service, precedence, requests, rejected, wait_ms), delay in zip(
            counts, delays, strict=True
        )
    ]


def _encode_profiles(profiles: dict[str, ProfileEstimates]) -> dict[str, list[float]]:
    """Return the value and sample count of each quantity, alternating."""
    encoded = {}
    for service, estimates in profiles.items():
        numbers: list[float] = []
        for name in PROFILE_QUANTITIES:
            estimate: Estimate = getattr(estimates, name)
            numbers += [float(f"{estimate.value:.3g}"), estimate.samples]
        encoded[service] = numbers
    return encoded


def _decode_profiles(value: dict[str, list[float]]) -> dict[str, ProfileEstimates]:
    profiles = {}
    for service, numbers in value.items():
        estimates = [
            Estimate(value=float(number), samples=int(samples))
            for number, samples in zip(numbers[::2], numbers[1::2], strict=True)
        ]
        if len(estimates) != len(PROFILE_QUANTITIES) or any(e.value <= 0.0 for e in estimates):
            raise ValueError("unknown quantities in an engine profile")
        named = dict(zip(PROFILE_QUANTITIES, estimates, strict=True))
        profiles[str(service)] = ProfileEstimates(**named)
    return profiles


def _encode_stamp(stamp: FreshnessStamp | None) -> list[str | float] | None:
    return None if stamp is None else [stamp.version, round(stamp.store_time, 4)]


def _decode_stamp(value: object) -> FreshnessStamp | None:
    if value is None:
        return None
    version, store_time = value  # type: ignore[misc]
    return FreshnessStamp(version=str(version), store_time=float(store_time))

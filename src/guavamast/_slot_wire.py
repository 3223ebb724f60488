"""Conversion between the slot messages and their protobuf form."""

from __future__ import annotations

from guavamast import peer_pb2
from guavamast.errors import ErrorCode
from guavamast.slots import (
    Ask,
    Granted,
    KeeperEvent,
    Paused,
    Probe,
    Queued,
    Refused,
    Release,
)


def encode_ask(ask: Ask, *, now: float) -> peer_pb2.AskMessage:
    """Return the message of an ask; its deadline is encoded as the remaining time."""
    return peer_pb2.AskMessage(
        ask_id=ask.ask_id,
        endpoint=ask.endpoint,
        organisation=ask.organisation,
        class_name=ask.class_name,
        tier=ask.tier,
        kind=ask.kind,
        model=ask.model,
        prompt_tokens=ask.prompt_tokens,
        max_tokens=ask.max_tokens,
        deadline_in_s=ask.deadline - now,
        idempotent=ask.idempotent,
    )


def decode_ask(message: peer_pb2.AskMessage, *, entry: str, now: float) -> Ask:
    """Return the ask of a message, with its deadline on this process's clock."""
    return Ask(
        ask_id=message.ask_id,
        entry=entry,
        endpoint=message.endpoint,
        organisation=message.organisation,
        class_name=message.class_name,
        tier=message.tier,
        kind=message.kind,
        model=message.model,
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        deadline=now + message.deadline_in_s,
        idempotent=message.idempotent,
    )


def encode_release(release: Release) -> peer_pb2.EntryMessage:
    """Return the message of a release."""
    return peer_pb2.EntryMessage(
        release=peer_pb2.ReleaseMessage(
            ask_id=release.ask_id,
            endpoint=release.endpoint,
            used=release.used,
            failed=release.failed,
            tokens=release.tokens,
            first_token_s=release.first_token_s,
            duration_s=release.duration_s,
        )
    )


def decode_release(message: peer_pb2.ReleaseMessage) -> Release:
    """Return the release of a message."""
    return Release(
        ask_id=message.ask_id,
        endpoint=message.endpoint,
        used=message.used,
        failed=message.failed,
        tokens=message.tokens,
        first_token_s=message.first_token_s,
        duration_s=message.duration_s,
    )


def encode_event(event: KeeperEvent) -> peer_pb2.KeeperMessage:
    """Return the message of a keeper's event."""
    ids = {"ask_id": event.ask.ask_id, "endpoint": event.ask.endpoint}
    if isinstance(event, Granted):
        return peer_pb2.KeeperMessage(grant=peer_pb2.GrantMessage(**ids))
    if isinstance(event, Queued):
        queued = peer_pb2.QueuedMessage(**ids, estimated_wait_s=event.estimated_wait_s)
        return peer_pb2.KeeperMessage(queued=queued)
    if isinstance(event, Refused):
        refuse = peer_pb2.RefuseMessage(
            **ids, code=event.code.value, retry_after_s=event.retry_after_s
        )
        return peer_pb2.KeeperMessage(refuse=refuse)
    return peer_pb2.KeeperMessage(pause=peer_pb2.PauseMessage(**ids, reason=event.reason))


def decode_event(message: peer_pb2.KeeperMessage, ask: Ask) -> KeeperEvent:
    """Return the event of a message about an ask of this entry."""
    kind = message.WhichOneof("body")
    if kind == "grant":
        return Granted(ask=ask)
    if kind == "queued":
        return Queued(ask=ask, estimated_wait_s=message.queued.estimated_wait_s)
    if kind == "refuse":
        return Refused(
            ask=ask,
            code=ErrorCode(message.refuse.code),
            retry_after_s=message.refuse.retry_after_s,
        )
    return Paused(ask=ask, reason=message.pause.reason)


def encode_probe(probe: Probe) -> peer_pb2.KeeperMessage:
    """Return the message of a probe."""
    return peer_pb2.KeeperMessage(
        probe=peer_pb2.ProbeMessage(
            endpoint=probe.endpoint,
            in_flight=probe.in_flight,
            queued=probe.queued,
            estimated_wait_s=probe.estimated_wait_s,
            lowest_tier=probe.lowest_tier,
            weight=probe.weight,
            slots=probe.slots,
        )
    )


def decode_probe(message: peer_pb2.ProbeMessage) -> Probe:
    """Return the probe of a message."""
    return Probe(
        endpoint=message.endpoint,
        in_flight=message.in_flight,
        queued=message.queued,
        estimated_wait_s=message.estimated_wait_s,
        lowest_tier=message.lowest_tier,
        weight=message.weight,
        slots=message.slots,
    )

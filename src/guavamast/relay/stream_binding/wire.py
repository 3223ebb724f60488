"""Messages between instances about bound streams, and their encoding as datagrams.

Times are sent as seconds from the time of sending, as the clocks of instances differ.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final, TypeAlias

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json
from guavamast.relay.requester import Requester, decode_requester
from guavamast.relay.stream_binding.records import (
    KEY_BYTES,
    BoundStream,
    StreamBinding,
    UnconfirmedSource,
)

BINDING_PREFIX: Final = b"o"
"""First byte of the datagrams about bound streams."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BindingCopy:
    """A bound stream, for an instance that is to remember it as well."""

    key: str
    stream: BoundStream


@dataclass(frozen=True, slots=True, kw_only=True)
class SaveRequest:
    """A bound stream, for an instance that is to remember it and to save it in the store."""

    key: str
    stream: BoundStream


@dataclass(frozen=True, slots=True, kw_only=True)
class BindingQuery:
    """The question whether an instance remembers a stream."""

    requester: Requester
    """The process that asks."""
    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BindingReply:
    """The reply to a query."""

    requester: Requester
    """The process that has asked."""
    key: str
    """The key that it has asked for."""
    instance: str
    """Name of the instance that replies."""
    stream: BoundStream | None
    """None if it doesn't remember the stream."""


BindingMessage: TypeAlias = BindingCopy | SaveRequest | BindingQuery | BindingReply


def encode_binding_message(message: BindingMessage, *, now: float) -> bytes:
    """Return the datagram of a message that is sent at a local time."""
    fields: list[Any]
    if isinstance(message, BindingCopy):
        fields = ["c", message.key, *_encode_stream(message.stream, now)]
    elif isinstance(message, SaveRequest):
        fields = ["save", message.key, *_encode_stream(message.stream, now)]
    elif isinstance(message, BindingQuery):
        fields = ["ask", *_encode_question(message)]
    else:
        stream = [] if message.stream is None else _encode_stream(message.stream, now)
        fields = ["reply", *_encode_question(message), message.instance, *stream]
    return BINDING_PREFIX + encode_json(fields).encode()


def decode_binding_message(data: bytes, *, now: float) -> BindingMessage:
    """Return the message of a datagram that was received at a local time.

    Raises:
        MalformedData: The datagram is not a valid message.
    """
    with Decoding("stream binding"):
        kind, *fields = decode_json(data[len(BINDING_PREFIX) :])
        return _DECODERS[kind](fields, now)


def _decode_copy(fields: list[Any], now: float) -> BindingCopy:
    key, *stream = fields
    return BindingCopy(key=_decode_key(key), stream=_decode_stream(stream, now))


def _decode_save_request(fields: list[Any], now: float) -> SaveRequest:
    key, *stream = fields
    return SaveRequest(key=_decode_key(key), stream=_decode_stream(stream, now))


def _decode_query(fields: list[Any], now: float) -> BindingQuery:
    del now
    name, incarnation, key = fields
    return BindingQuery(requester=decode_requester(name, incarnation), key=_decode_key(key))


def _decode_reply(fields: list[Any], now: float) -> BindingReply:
    name, incarnation, key, instance, *stream = fields
    return BindingReply(
        requester=decode_requester(name, incarnation),
        key=_decode_key(key),
        instance=str(instance),
        stream=_decode_stream(stream, now) if stream else None,
    )


def _decode_key(key: str) -> str:
    digest = bytes.fromhex(key)
    if len(digest) != KEY_BYTES or digest.hex() != key:
        raise ValueError("not the key of a stream")
    return key


def _encode_question(message: BindingQuery | BindingReply) -> list[Any]:
    return [message.requester.instance, message.requester.incarnation, message.key]


def _encode_stream(stream: BoundStream, now: float) -> list[Any]:
    binding = stream.binding
    source = stream.unconfirmed
    return [
        binding.service if binding is not None else None,
        binding.software_version if binding is not None else None,
        stream.instance,
        round(now - stream.bound_at, 3),
        round(stream.expires_at - now, 1),
        *([] if source is None else _encode_source(source, now)),
    ]


def _encode_source(source: UnconfirmedSource, now: float) -> list[Any]:
    return [source.endpoint_id, source.started_ms, round(now - source.established_at, 3)]


def _decode_source(fields: list[Any], now: float) -> UnconfirmedSource:
    endpoint_id, started_ms, age_s = fields
    return UnconfirmedSource(
        endpoint_id=str(endpoint_id),
        started_ms=None if started_ms is None else int(started_ms),
        established_at=now - float(age_s),
    )


def _decode_stream(fields: list[Any], now: float) -> BoundStream:
    service, software_version, instance, age_s, lifetime_s, *source = fields
    binding = None
    if service is not None:
        if not isinstance(service, str) or not isinstance(software_version, str):
            raise ValueError("neither a binding nor none")
        binding = StreamBinding(service=service, software_version=software_version)
    return BoundStream(
        binding=binding,
        instance=str(instance),
        bound_at=now - float(age_s),
        expires_at=now + float(lifetime_s),
        unconfirmed=_decode_source(source, now) if source else None,
    )


_DECODERS: Final[dict[str, Any]] = {
    "c": _decode_copy,
    "save": _decode_save_request,
    "ask": _decode_query,
    "reply": _decode_reply,
}

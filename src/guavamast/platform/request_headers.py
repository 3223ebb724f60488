"""The names of headers on the platform."""

from __future__ import annotations

from typing import Final

from guavamast.relay.messages import (
    CallerRequest,
    EndpointResponseHead,
    Header,
    HeaderCodec,
    PromptPart,
    SendParameters,
)

REQUEST_ID: Final = "X-Attempt-Id"
PATIENCE: Final = "X-Request-Deadline-Ms"
"""Milliseconds that the sender will wait, from the moment at which it sends."""
PROMPT: Final = "X-Prompt-Prefix"
TOKENS: Final = "X-Token-Usage"
SIGNATURE: Final = "X-Engine-Seal"
NOT_RUN: Final = "X-Not-Executed"

_CONNECTION_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Concern one connection only, or frame the body."""
_RELAY_HEADERS: Final = frozenset(
    (
        "authorization",
        "x-request-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-tenant",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "x-request-urgency",
        "kv-from",
        "kv-fetch",
    )
)
"""For the relay alone to set, or not for endpoints to see."""
_SCHEME: Final = "bearer "


class PlatformHeaders(HeaderCodec):
    """Decodes and encodes headers as the platform names them."""

    __slots__ = ()

    def decode_request(
        self,
        *,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        arrived: float,
    ) -> CallerRequest:
        """Return a caller's request."""
        fields = {name.lower(): value for name, value in headers}
        prompt_tokens, output_tokens = _read_tokens(fields.get(TOKENS.lower()))
        return CallerRequest(
            request_id=fields.get(REQUEST_ID.lower(), ""),
            method=method,
            target=target,
            host=fields.get("host", ""),
            headers=_select(headers, fields, _RELAY_HEADERS),
            body=body,
            has_body=bool(body) or "content-length" in fields or "transfer-encoding" in fields,
            api_key=_read_key(fields.get("authorization")),
            timeout_s=_read_seconds(fields.get(PATIENCE.lower())),
            prompt_parts=_read_parts(fields.get(PROMPT.lower())),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            received_at=arrived,
        )

    def encode_request(self, request: CallerRequest, terms: SendParameters) -> list[Header]:
        """Return the headers of a request to an endpoint."""
        headers = list(request.headers)
        if terms.resume_after is not None:
            headers = [header for header in headers if header[0].lower() != "last-event-id"]
            headers.append(("Last-Event-Id", terms.resume_after))
        headers.append(("X-Expect-Instance", terms.endpoint_id))
        if terms.organisation is not None:
            headers.append(("X-Tenant", terms.organisation))
        if terms.remaining_s is not None:
            headers.append((PATIENCE, str(max(1, int(terms.remaining_s * 1000)))))
        if terms.urgency is not None:
            headers.append(("X-Request-Urgency", str(terms.urgency)))
        return headers

    def decode_response(self, status: int, headers: list[Header]) -> EndpointResponseHead:
        """Return the decoded head of an endpoint's answer."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get("connection", "").lower()
        encoding = fields.get("content-encoding", "identity").lower()
        return EndpointResponseHead(
            status=status,
            headers=_select(headers, fields, frozenset()),
            request_id=fields.get(REQUEST_ID.lower()),
            signed=SIGNATURE.lower() in fields,
            # Another engine at the address says 421 without the header that others carry.
            not_run=NOT_RUN.lower() in fields or status == 421,
            encoded=encoding not in ("", "identity"),
            event_stream=fields.get("content-type", "").startswith("text/event-stream"),
            keep_alive_s=_read_keep_alive(fields.get("keep-alive")),
            closes_connection="close" in connection,
        )

    def encode_rejection(self, request_id: str, retry_after_s: float | None) -> list[Header]:
        """Return the headers of an answer of the relay's own."""
        headers = [(REQUEST_ID, request_id)] if request_id else []
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        return headers


def _select(
    headers: list[Header], fields: dict[str, str], dropped: frozenset[str]
) -> tuple[Header, ...]:
    """Return the headers that go on, without those that the connection header names."""
    named = {name.strip().lower() for name in fields.get("connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
        and name.lower() not in dropped
        and name.lower() not in named
    )


def _read_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(_SCHEME):
        return None
    return value[len(_SCHEME) :].strip()


def _read_seconds(value: str | None) -> float | None:
    try:
        return None if value is None else float(value) / 1000.0
    except ValueError:
        return None


def _read_tokens(value: str | None) -> tuple[int, int]:
    """Return prompt tokens and most output tokens; 0 for what is not stated."""
    parts = (value or "").split(",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return 0, 0
    return int(parts[0]), int(parts[1])


def _read_parts(value: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or "").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id=part_id, tokens=int(tokens)))
    return tuple(parts)


def _read_keep_alive(value: str | None) -> float | None:
    for entry in (value or "").split(","):
        name, _, seconds = entry.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return float(seconds)
    return None

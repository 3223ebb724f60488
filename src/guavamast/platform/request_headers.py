"""Header names of the platform and their codec."""

from __future__ import annotations

import re
from math import isfinite
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
RESUMED_REQUEST_ID: Final = "Resumes"
LAST_EVENT_ID: Final = "Last-Event-Id"
TIMEOUT: Final = "X-Request-Deadline-Ms"
"""The sender's timeout in milliseconds, counted from the time of sending."""
PROMPT_PARTS: Final = "X-Prompt-Prefix"
TOKEN_COUNTS: Final = "X-Token-Usage"
SIGNATURE: Final = "X-Engine-Seal"
NOT_RUN: Final = "X-Not-Executed"
REJECTION_LIMIT: Final = "Server-Brittle"
RATE_LIMIT: Final = "Server-Limit"
"""Requests in a second, a decimal number, that an engine takes from all instances together."""
MAX_MALFORMED_CHARACTERS: Final = 40
"""Characters of a value that can't be read which are kept for the log."""

_HOP_BY_HOP_HEADERS: Final = frozenset(
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
"""Headers that apply to one connection only, or that frame the body."""
_RESERVED_HEADERS: Final = frozenset(
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
"""Headers that only the relay may set, or that endpoints must not see."""
_READ_RESPONSE_HEADERS: Final = _HOP_BY_HOP_HEADERS | {
    name.lower() for name in (REQUEST_ID, SIGNATURE, NOT_RUN, REJECTION_LIMIT, RATE_LIMIT)
}
_CONTENT_HEADERS: Final = frozenset(
    (
        "cache-control",
        "content-encoding",
        "content-language",
        "content-type",
        "date",
        "etag",
        "last-modified",
        "location",
        "retry-after",
        "server",
        "vary",
    )
)
"""Standard headers that are about a response only."""
_DECIMAL_NUMBER: Final = re.compile(r"[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]{1,3})?", re.ASCII)
_COUNT: Final = re.compile(r"\s*([0-9]{1,15})\s*", re.ASCII)
_BEARER_PREFIX: Final = "bearer "


class PlatformHeaders(HeaderCodec):
    """Codec for headers as the platform names them."""

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
        """Decode a caller's request."""
        fields = {name.lower(): value for name, value in headers}
        prompt_tokens, output_tokens = _parse_token_counts(fields.get(TOKEN_COUNTS.lower()))
        return CallerRequest(
            request_id=fields.get(REQUEST_ID.lower(), ""),
            method=method,
            target=target,
            host=fields.get("host", ""),
            headers=_filter_headers(headers, fields, _RESERVED_HEADERS),
            body=body,
            has_body=bool(body) or "content-length" in fields or "transfer-encoding" in fields,
            api_key=_parse_bearer_key(fields.get("authorization")),
            timeout_s=_parse_timeout_s(fields.get(TIMEOUT.lower())),
            prompt_parts=parse_prompt_parts(fields.get(PROMPT_PARTS.lower())),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            received_at=arrived,
            resumed_request_id=fields.get(RESUMED_REQUEST_ID.lower()),
            last_event_id=fields.get(LAST_EVENT_ID.lower()),
        )

    def encode_request(self, request: CallerRequest, parameters: SendParameters) -> list[Header]:
        """Return the headers of a request to an endpoint."""
        headers = list(request.headers)
        if parameters.resume_after is not None:
            headers = [header for header in headers if header[0].lower() != LAST_EVENT_ID.lower()]
            headers.append((LAST_EVENT_ID, parameters.resume_after))
        headers.append(("X-Expect-Instance", parameters.endpoint_id))
        if parameters.organisation is not None:
            headers.append(("X-Tenant", parameters.organisation))
        if parameters.remaining_s is not None:
            headers.append((TIMEOUT, str(max(1, int(parameters.remaining_s * 1000)))))
        if parameters.urgency is not None:
            headers.append(("X-Request-Urgency", str(parameters.urgency)))
        return headers

    def decode_response(self, status: int, headers: list[Header]) -> EndpointResponseHead:
        """Return the decoded head of an endpoint's response."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get("connection", "").lower()
        encoding = fields.get("content-encoding", "identity").lower()
        rate_limit, malformed_rate_limit = _parse_rate_limit(headers)
        return EndpointResponseHead(
            status=status,
            headers=_filter_headers(headers, fields, frozenset()),
            request_id=fields.get(REQUEST_ID.lower()),
            signed=SIGNATURE.lower() in fields,
            # Another engine at the address answers 421 without the not-executed header.
            not_run=NOT_RUN.lower() in fields or status == 421,
            encoded=encoding not in ("", "identity"),
            event_stream=fields.get("content-type", "").startswith("text/event-stream"),
            keep_alive_s=_parse_keep_alive(fields.get("keep-alive")),
            closes_connection="close" in connection,
            rejection_limit=_parse_count(fields.get(REJECTION_LIMIT.lower())),
            rate_limit=rate_limit,
            malformed_rate_limit=malformed_rate_limit,
        )

    def reads_response_header(self, name: str) -> bool:
        """Return whether a header of responses is read, or says nothing about the endpoint."""
        lower = name.lower()
        return lower in _READ_RESPONSE_HEADERS or lower in _CONTENT_HEADERS

    def encode_rejection(self, request_id: str, retry_after_s: float | None) -> list[Header]:
        """Return the headers of a response that the relay generates itself."""
        headers = [(REQUEST_ID, request_id)] if request_id else []
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        return headers


def _filter_headers(
    headers: list[Header], fields: dict[str, str], dropped: frozenset[str]
) -> tuple[Header, ...]:
    """Return the headers to forward, without those that the Connection header lists."""
    connection_options = {name.strip().lower() for name in fields.get("connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in dropped
        and name.lower() not in connection_options
    )


def _parse_bearer_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(_BEARER_PREFIX):
        return None
    return value[len(_BEARER_PREFIX) :].strip()


def _parse_timeout_s(value: str | None) -> float | None:
    try:
        timeout_ms = float(value or "nan")
    except ValueError:
        return None
    return timeout_ms / 1000.0 if isfinite(timeout_ms) else None


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens; both 0 if not stated."""
    counts = [_parse_count(part) for part in (value or "").split(",")]
    if len(counts) != 2 or counts[0] is None or counts[1] is None:
        return 0, 0
    return counts[0], counts[1]


def _parse_count(value: str | None) -> int | None:
    """Return a count; None if the value is none, or has more digits than any count can have."""
    match = _COUNT.fullmatch(value or "")
    return int(match.group(1)) if match is not None else None


def _parse_rate_limit(headers: list[Header]) -> tuple[float | None, str | None]:
    """Return the stated rate limit, and the value if it can't be read.

    Two values contradict each other, so neither is used.
    """
    values = [value.strip() for name, value in headers if name.lower() == RATE_LIMIT.lower()]
    if not values:
        return None, None
    if len(values) == 1 and _DECIMAL_NUMBER.fullmatch(values[0]):
        limit = float(values[0])
        if isfinite(limit):
            return limit, None
    return None, ", ".join(values)[:MAX_MALFORMED_CHARACTERS]


def parse_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that a header lists; entries that can't be read are skipped."""
    parts = []
    for entry in (value or "").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        count = _parse_count(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id=part_id, tokens=count))
    return tuple(parts)


def _parse_keep_alive(value: str | None) -> float | None:
    for entry in (value or "").split(","):
        name, _, seconds = entry.strip().partition("=")
        count = _parse_count(seconds)
        if name.lower() == "timeout" and count is not None:
            return float(count)
    return None

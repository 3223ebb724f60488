"""Messages between an instance and the one that forwards its requests to endpoints.

They are HTTP/1.1 messages. The head of a forwarding request names the endpoint and contains nothing
of the caller's request, which follows as the body after ``100 Continue``: until that body has been
sent completely, the caller's request has certainly not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import quote, unquote

import h11

from guavamast.decoding import Decoding
from guavamast.http_status import is_final_status
from guavamast.relay.endpoint_connection import ResponseHead
from guavamast.relay.http_messages import encode_headers
from guavamast.relay.response_end import BodyFraming

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.relay.messages import Header

METHOD: Final = "POST"
TARGET: Final = "/forward"
ENDPOINT_HEADER: Final = "Guavamast-Endpoint"
ORIGIN_HEADER: Final = "Guavamast-Instance"
REQUEST_HEADER: Final = "Guavamast-Request"
VERSION_HEADER: Final = "Guavamast-Configuration"
SOFTWARE_HEADER: Final = "Guavamast-Software-Version"
PERMIT_HEADER: Final = "Guavamast-Permit"
STATUS_HEADER: Final = "Guavamast-Status"
FRAMING_HEADER: Final = "Guavamast-Framing"
REASON_HEADER: Final = "Guavamast-Rejection"
FORWARDED_STATUS: Final = HTTPStatus.OK
"""Status of a message that contains an endpoint's response, whatever its status."""
REJECTED_STATUS: Final = HTTPStatus.SERVICE_UNAVAILABLE
"""Status of a message that states that the request was not sent and will not be."""


_RESPONSE_HEADERS: Final = (STATUS_HEADER.lower(), FRAMING_HEADER.lower())
"""Headers that describe the endpoint's response, in lower case."""


class RejectionReason(StrEnum):
    """Why an instance does not forward a request."""

    BUSY = "busy"
    """It has too much to do, or is leaving."""
    NO_PATH = "no_path"
    """It doesn't reach the service either."""
    UNREACHABLE = "unreachable"
    """It reaches the service, but this endpoint doesn't respond, or leaves."""
    REFUSED = "refused"
    """It reaches the service, but this endpoint's host refuses connections."""
    OUTDATED = "outdated"
    """Its configuration is newer, or its tables are too old to send anything."""
    RATE_LIMITED = "rate_limited"
    """The endpoint states a rate limit, and the request has no permit."""
    OTHER_SOFTWARE = "other_software"
    """The endpoint isn't known here to run the software that the request needs."""
    LATE = "late"
    """The request came too late after the permission to send it."""


class OrderRejected(Exception):
    """A request that an instance does not forward.

    Args:
        reason: Why.
    """

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(str(reason))
        self.reason = reason


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardOrder:
    """What an instance asks another one to do with the request that follows."""

    endpoint_id: str
    row_version: int
    """Row version of the configuration by which the request was admitted."""
    request_id: str
    origin: str
    """Name of the instance that has the caller."""
    software_version: str | None = None
    """What the endpoint must be known to run; None if it may run anything."""
    permitted: bool = False
    """Whether the request is permitted under the endpoint's rate limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EncodedRequest:
    """A request as it goes to the endpoint."""

    method: str
    target: str
    headers: list[Header]
    body: bytes


def encode_order(order: ForwardOrder, *, host: str) -> list[Header]:
    """Return the headers of a forwarding request."""
    software = order.software_version
    return [
        ("Host", host),
        ("Expect", "100-continue"),
        ("Transfer-Encoding", "chunked"),
        (ENDPOINT_HEADER, order.endpoint_id),
        (VERSION_HEADER, str(order.row_version)),
        (REQUEST_HEADER, order.request_id),
        (ORIGIN_HEADER, order.origin),
        *([] if software is None else [(SOFTWARE_HEADER, quote(software))]),
        *([(PERMIT_HEADER, "1")] if order.permitted else []),
    ]


def decode_order(headers: Mapping[str, str]) -> ForwardOrder:
    """Return the order in the headers of a forwarding request.

    Raises:
        MalformedData: A header is missing or invalid.
    """
    with Decoding("forwarding order"):
        software = headers.get(SOFTWARE_HEADER)
        return ForwardOrder(
            endpoint_id=headers[ENDPOINT_HEADER],
            row_version=int(headers[VERSION_HEADER]),
            request_id=headers[REQUEST_HEADER],
            origin=headers[ORIGIN_HEADER],
            software_version=None if software is None else unquote(software),
            permitted=PERMIT_HEADER in headers,
        )


def encode_request(method: str, target: str, headers: list[Header], body: bytes) -> bytes:
    """Return the body of a forwarding request: the request as it goes to the endpoint."""
    encoder = h11.Connection(our_role=h11.CLIENT)
    head = h11.Request(method=method, target=target, headers=encode_headers(headers))
    return (encoder.send(head) or b"") + body


def decode_request(data: bytes) -> EncodedRequest:
    """Return the request in the body of a forwarding request.

    Raises:
        MalformedData: The bytes are not a complete request.
    """
    with Decoding("forwarded request"):
        decoder = h11.Connection(our_role=h11.SERVER)
        decoder.receive_data(data)
        body = bytearray()
        request = decoder.next_event()
        while isinstance(event := decoder.next_event(), h11.Data):
            body += event.data
        if not isinstance(request, h11.Request) or not isinstance(event, h11.EndOfMessage):
            raise ValueError("incomplete request")
        return EncodedRequest(
            method=request.method.decode("latin-1"),
            target=request.target.decode("latin-1"),
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request.headers.raw_items()
            ],
            body=bytes(body),
        )


def encode_response_headers(
    status: int, framing: BodyFraming, headers: tuple[Header, ...]
) -> list[Header]:
    """Return the headers of a message with an endpoint's response.

    The message has a framing of its own, so it states that of the endpoint's response.
    """
    return [
        (STATUS_HEADER, str(status)),
        (FRAMING_HEADER, str(framing)),
        *(header for header in headers if header[0].lower() not in _RESPONSE_HEADERS),
    ]


def decode_response_head(head: ResponseHead) -> ResponseHead:
    """Return the head of the endpoint's response in a message.

    Raises:
        MalformedData: The message does not state the endpoint's status.
    """
    with Decoding("forwarded response"):
        statuses = [value for name, value in head.headers if name.lower() == STATUS_HEADER.lower()]
        if len(statuses) != 1 or not statuses[0].isdigit():
            raise ValueError("no status of the endpoint")
        status = int(statuses[0])
        if not is_final_status(status):
            raise ValueError("no final status of the endpoint")
        framings = [value for name, value in head.headers if name.lower() == FRAMING_HEADER.lower()]
        headers = [header for header in head.headers if header[0].lower() not in _RESPONSE_HEADERS]
        framing = _decode_framing(framings)
        return ResponseHead(status=status, headers=headers, framing=framing)


def _decode_framing(values: list[str]) -> BodyFraming:
    """Return the framing that a message states; the least certain one if it states none.

    Instances of earlier versions state none.
    """
    try:
        return BodyFraming(values[0])
    except (IndexError, ValueError):
        return BodyFraming.CONNECTION


def decode_rejection(head: ResponseHead) -> RejectionReason:
    """Return why a request is not forwarded.

    Raises:
        MalformedData: The message is not a rejection.
    """
    with Decoding("rejection of an order"):
        fields = {name.lower(): value for name, value in head.headers}
        if head.status != REJECTED_STATUS:
            raise ValueError(f"status {head.status}")
        return RejectionReason(fields[REASON_HEADER.lower()])

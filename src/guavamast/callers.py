"""Base of the handlers for callers: limits, authentication, errors, cancellation."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tornado.iostream import StreamClosedError
from tornado.web import HTTPError, RequestHandler, stream_request_body

from guavamast.caller_input import (
    MAX_REQUEST_ID_LENGTH,
    parse_bearer,
    parse_label,
    parse_timeout,
    reject_input,
)
from guavamast.caller_server import LastResponses, encode_response
from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.log import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from guavamast.chats import ChatRouter
    from guavamast.entry_state import EntryState
    from guavamast.fleet_objects import Organisation, ServiceClass
    from guavamast.limit_gate import LimitGate
    from guavamast.metrics import Metrics

NO_CONFIGURATION_RETRY_S: Final = 2.0
LEAVING_RETRY_S: Final = 1.0
ISOLATED_RETRY_S: Final = 5.0


def _count_from_random_start() -> Iterator[int]:
    return itertools.count(random.randrange(1 << 20))


@dataclass(slots=True, kw_only=True)
class CallerServices:
    """Services that the handlers use; one object per entry."""

    state: EntryState
    chats: ChatRouter
    limits: LimitGate
    metrics: Metrics
    clock: Callable[[], float]
    max_body_bytes: int
    address_validity_s: float
    address_seeds: Iterator[int] = field(default_factory=_count_from_random_start)
    in_flight: int = 0
    """Requests being served; a leaving entry waits for them to finish."""


def encode_rejection(refusal: Refusal) -> dict[str, Any]:
    """Return the response body for a rejection."""
    error: dict[str, Any] = {
        "code": refusal.code,
        "message": refusal.message,
        "outcome": refusal.outcome,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = round(refusal.retry_after_s, 3)
    return {"error": error}


@stream_request_body
class CallerHandler(RequestHandler):
    """Base of all handlers: body limit, errors as JSON with a code, cancellation, metrics."""

    def initialize(self, services: CallerServices) -> None:
        """Set the entry's services."""
        self.services = services
        self.request_id = ""
        self.streaming = False
        self._chunks: list[bytes] = []
        self._body_size = 0
        self._work: asyncio.Task[None] | None = None
        self._caller_disconnected = False
        self._organisation = ""
        self._class_name = ""
        self._code = ""

    def prepare(self) -> None:
        """Reject a body whose declared length exceeds the limit before it is read."""
        self._check_body_size(int(self.request.headers.get("Content-Length") or 0))

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        self._body_size += len(chunk)
        self._check_body_size(self._body_size)
        self._chunks.append(chunk)

    def get_body_limit(self) -> int:
        """Return the maximum body size of this handler, in bytes."""
        return self.services.max_body_bytes

    def _check_body_size(self, size: int) -> None:
        limit = self.get_body_limit()
        if size > limit:
            self.set_header("Connection", "close")
            raise SendLatch().reject(
                ErrorCode.BODY_TOO_LARGE, f"the body is larger than {limit} bytes", status=413
            )

    def read_body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._chunks)

    async def run(self, work: Callable[[], Awaitable[None]], organisation: Organisation) -> None:
        """Await a request's work within its organisation's limits.

        The work is cancelled when its caller disconnects.
        """
        self.services.in_flight += 1
        self._work = asyncio.ensure_future(self._run_admitted(work, organisation))
        try:
            await self._work
        except asyncio.CancelledError:
            # Without this check, a cancellation by the end of the process counts as a disconnected
            # caller, and the caller gets an empty response with status 200.
            if not self._caller_disconnected:
                raise
            self.services.metrics.count("callers.gone")
        except StreamClosedError:
            self.services.metrics.count("callers.gone")
        finally:
            self.services.in_flight -= 1

    async def _run_admitted(
        self, work: Callable[[], Awaitable[None]], organisation: Organisation
    ) -> None:
        await self.services.limits.admit(organisation)
        try:
            await work()
        finally:
            self.services.limits.release(organisation)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has disconnected, so that its slot is released."""
        self._caller_disconnected = True
        if self._work is not None:
            self._work.cancel()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond with an error that has a code."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refusal):
            refusal = error
        elif error is None and self._work is None:
            # When the loop ends before a request's body has arrived, tornado responds for the
            # cancelled handler. Without this, the caller can't tell that nothing has run.
            refusal = _reject_leaving("this instance has left")
        else:
            refusal = _translate_error(error, status_code)
        self._code = refusal.code
        self.services.metrics.count(f"errors.{refusal.code}")
        self.set_status(refusal.status)
        if self.request_id:
            self.set_header("X-Request-Id", self.request_id)
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", _format_retry_after(refusal.retry_after_s))
        self.finish(encode_rejection(refusal))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions; rejections and callers' errors are not logged."""
        if isinstance(value, Refusal | HTTPError):
            return
        exc_info = (typ, value, tb)
        get_logger().error("handler failed", exc_info=exc_info, extra={"code": "internal"})

    def on_finish(self) -> None:
        """Log the result of a request that has an id."""
        if not self.request_id:
            return
        context = {
            "request_id": self.request_id,
            "organisation": self._organisation or None,
            "class_name": self._class_name or None,
            "instance": self.services.state.instance.name,
            "code": self._code or None,
        }
        status = self.get_status()
        get_logger().info("%s %s %d", self.request.method, self.request.path, status, extra=context)

    def read_request_id(self) -> None:
        """Read the caller's request id, or generate one."""
        header = self.request.headers.get("X-Request-Id", "")
        given = parse_label(header, name="X-Request-Id", max_length=MAX_REQUEST_ID_LENGTH)
        self.request_id = given or uuid.uuid4().hex

    def authenticate_caller(self) -> Organisation:
        """Return the organisation whose key the request carries."""
        self.require_ready()
        key = parse_bearer(self.request.headers.get("Authorization", ""))
        organisation = self.services.state.find_organisation(key) if key else None
        if organisation is None:
            raise SendLatch().reject(
                ErrorCode.UNAUTHENTICATED, "the API key is missing or unknown", status=401
            )
        self._organisation = organisation.name
        return organisation

    def require_ready(self) -> None:
        """Reject when this instance has no configuration, is isolated or is leaving."""
        state = self.services.state
        if state.configuration.version == 0:
            raise SendLatch().reject(
                ErrorCode.NO_CONFIGURATION,
                "no configuration is in force yet",
                status=503,
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        if state.isolated:
            raise SendLatch().reject(
                ErrorCode.NO_CONFIGURATION,
                "this instance has contact with neither the platform nor another instance",
                status=503,
                retry_after_s=ISOLATED_RETRY_S,
            )
        if state.leaving:
            others = ", ".join(item.instance.caller_address for item in state.list_live_peers()[:3])
            raise _reject_leaving(f"this instance is leaving; others: {others or 'none known'}")

    def look_up_class(self, organisation: Organisation, kind: str) -> ServiceClass:
        """Return the organisation's service class for a kind of request."""
        name = organisation.contract.classes.get(kind)
        if name is None:
            message = f"{organisation.name} has no class for the kind {kind!r}"
            raise reject_input(message, ErrorCode.UNKNOWN_CLASS)
        self._class_name = name
        return self.services.state.configuration.classes[name]

    def compute_deadline(self, service_class: ServiceClass) -> float:
        """Return the deadline on the entry's clock, from the caller's timeout or the class's."""
        requested_s = parse_timeout(self.request.headers.get("X-Request-Timeout-Ms", ""))
        return self.services.clock() + (requested_s or service_class.completion_s)


def _reject_leaving(message: str) -> Refusal:
    return SendLatch().reject(ErrorCode.LEAVING, message, status=503, retry_after_s=LEAVING_RETRY_S)


def build_last_responses() -> LastResponses:
    """Return the responses of an entry that ends."""
    unfinished = Refusal(
        ErrorCode.LEAVING,
        "this instance ended before the request did",
        status=503,
        outcome=Outcome.OUTCOME_UNKNOWN,
    )
    return LastResponses(
        not_run=_encode_refusal(_reject_leaving("this instance has left")),
        unfinished=_encode_refusal(unfinished),
    )


def _encode_refusal(refusal: Refusal) -> bytes:
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", _format_retry_after(refusal.retry_after_s)))
    return encode_response(refusal.status, headers, json.dumps(encode_rejection(refusal)).encode())


def _format_retry_after(seconds: float) -> str:
    """Return the header's value, whole seconds as HTTP has it."""
    return str(max(1, round(seconds)))


def _translate_error(error: BaseException | None, status: int) -> Refusal:
    if isinstance(error, HTTPError) and status == 404:
        return SendLatch().reject(ErrorCode.NOT_FOUND, "no such path", status=404)
    if isinstance(error, HTTPError) and status < 500:
        message = error.log_message or error.reason or "the request is invalid"
        return SendLatch().reject(ErrorCode.BAD_REQUEST, message, status=status)
    # The error may have occurred after a send, so the outcome of the work is unknown.
    return Refusal(
        ErrorCode.INTERNAL,
        f"internal error of the router ({type(error).__name__}, status {status})",
        status=503,
        outcome=Outcome.OUTCOME_UNKNOWN,
        retry_after_s=1.0,
    )


class UnknownPathHandler(CallerHandler):
    """Rejects all other paths."""

    def prepare(self) -> None:
        """Reject the request as not found."""
        raise SendLatch().reject(ErrorCode.NOT_FOUND, "no such path", status=404)

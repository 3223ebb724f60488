"""HTTP handlers for callers: chats, addresses, models and health."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
import uuid
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler, stream_request_body

from guavamast.addresses import choose_addresses
from guavamast.caller_input import (
    MAX_REQUEST_ID_LENGTH,
    parse_bearer,
    parse_chat_body,
    parse_label,
    parse_timeout,
    refuse_input,
)
from guavamast.chats import AnswerSink, Chat
from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.event_stream import DONE, encode_event, encode_json_event
from guavamast.log import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from guavamast.answers import AnswerPiece
    from guavamast.chats import ChatRouter
    from guavamast.entry_state import EntryState
    from guavamast.limit_gate import LimitGate
    from guavamast.metrics import Metrics
    from guavamast.world import Instance, Organisation, ServiceClass

DEFAULT_KIND: Final = "chat"
NO_CONFIGURATION_RETRY_S: Final = 2.0
LEAVING_RETRY_S: Final = 1.0
ISOLATED_RETRY_S: Final = 5.0


def _count_from_random() -> Iterator[int]:
    return itertools.count(random.randrange(1 << 20))


@dataclass(slots=True, kw_only=True)
class CallerServices:
    """What the handlers need; one for each entry."""

    state: EntryState
    chats: ChatRouter
    limits: LimitGate
    metrics: Metrics
    clock: Callable[[], float]
    max_body_bytes: int
    address_validity_s: float
    address_seeds: Iterator[int] = field(default_factory=_count_from_random)
    in_flight: int = 0
    """Requests being served, which a leaving entry waits for."""


def encode_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the body that callers get for a refusal."""
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
    """Base of all handlers: body limit, errors as coded JSON, cancellation, counts."""

    def initialize(self, services: CallerServices) -> None:
        """Take the entry's services."""
        self.services = services
        self.request_id = ""
        self.streaming = False
        self._pieces: list[bytes] = []
        self._size = 0
        self._work: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        """Refuse a body whose announced length is over the limit before it is read."""
        self._limit_body(int(self.request.headers.get("Content-Length") or 0))

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        self._size += len(chunk)
        self._limit_body(self._size)
        self._pieces.append(chunk)

    def get_body_limit(self) -> int:
        """Return the longest body that this handler takes, in bytes."""
        return self.services.max_body_bytes

    def _limit_body(self, size: int) -> None:
        limit = self.get_body_limit()
        if size > limit:
            self.set_header("Connection", "close")
            raise SendLatch().refuse(
                ErrorCode.BODY_TOO_LARGE, f"the body is over {limit} bytes", status=413
            )

    def read_body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._pieces)

    async def run(self, work: Callable[[], Awaitable[None]], organisation: Organisation) -> None:
        """Await a request's work within its organisation's limits.

        The work ends when its caller goes away.
        """
        self.services.in_flight += 1
        self._work = asyncio.ensure_future(self._run_admitted(work, organisation))
        try:
            await self._work
        except asyncio.CancelledError:
            self.services.metrics.count("callers.gone")
            if not self._work.cancelled():
                raise
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
        """Cancel the work of a caller that has gone, so that its slot is released."""
        if self._work is not None:
            self._work.cancel()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with a coded error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        refusal = error if isinstance(error, Refusal) else _translate_error(error, status_code)
        self.services.metrics.count(f"errors.{refusal.code}")
        self.set_status(refusal.status)
        if self.request_id:
            self.set_header("X-Request-Id", self.request_id)
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        self.finish(encode_refusal(refusal))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log what isn't a refusal; callers' mistakes stay out of the log."""
        if isinstance(value, Refusal | HTTPError):
            return
        exc_info = (typ, value, tb)
        get_logger().error("handler failed", exc_info=exc_info, extra={"code": "internal"})

    def read_request_id(self) -> None:
        """Take the caller's request id, or make one."""
        header = self.request.headers.get("X-Request-Id", "")
        given = parse_label(header, name="X-Request-Id", longest=MAX_REQUEST_ID_LENGTH)
        self.request_id = given or uuid.uuid4().hex

    def find_caller(self) -> Organisation:
        """Return the organisation whose key the request carries."""
        self.require_ready()
        key = parse_bearer(self.request.headers.get("Authorization", ""))
        organisation = self.services.state.find_organisation(key) if key else None
        if organisation is None:
            raise SendLatch().refuse(
                ErrorCode.UNAUTHENTICATED, "the key is missing or not known", status=401
            )
        return organisation

    def require_ready(self) -> None:
        """Refuse when this instance has no configuration or leaves."""
        state = self.services.state
        if state.configuration.version == 0:
            raise SendLatch().refuse(
                ErrorCode.NO_CONFIGURATION,
                "no configuration is in force yet",
                status=503,
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        if state.isolated:
            raise SendLatch().refuse(
                ErrorCode.NO_CONFIGURATION,
                "this instance hears neither the platform nor another instance",
                status=503,
                retry_after_s=ISOLATED_RETRY_S,
            )
        if state.leaving:
            others = ", ".join(item.instance.caller_address for item in state.list_others()[:3])
            raise SendLatch().refuse(
                ErrorCode.LEAVING,
                f"this instance is leaving; others: {others or 'none known'}",
                status=503,
                retry_after_s=LEAVING_RETRY_S,
            )

    def find_class(self, organisation: Organisation, kind: str) -> ServiceClass:
        """Return the class of a kind of request of an organisation."""
        name = organisation.contract.classes.get(kind)
        if name is None:
            message = f"{organisation.name} has no class for the kind {kind!r}"
            raise refuse_input(message, ErrorCode.UNKNOWN_CLASS)
        return self.services.state.configuration.classes[name]

    def compute_deadline(self, service_class: ServiceClass) -> float:
        """Return the deadline on the entry's clock: the caller's, else the class's."""
        asked = parse_timeout(self.request.headers.get("X-Request-Timeout-Ms", ""))
        return self.services.clock() + (asked or service_class.completion_s)


def _translate_error(error: BaseException | None, status: int) -> Refusal:
    if isinstance(error, HTTPError) and status == 404:
        return SendLatch().refuse(ErrorCode.NOT_FOUND, "no such path", status=404)
    if isinstance(error, HTTPError) and status < 500:
        message = error.log_message or error.reason or "the request can't be taken"
        return SendLatch().refuse(ErrorCode.BAD_REQUEST, message, status=status)
    # What failed may have failed after a send, so nothing is claimed of the work.
    return Refusal(
        ErrorCode.INTERNAL,
        "an error of the router's own",
        status=503,
        outcome=Outcome.OUTCOME_UNKNOWN,
        retry_after_s=1.0,
    )


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve a chat, streamed or whole."""
        self.read_request_id()
        organisation = self.find_caller()
        kind = self.request.headers.get("X-Request-Kind", DEFAULT_KIND)
        service_class = self.find_class(organisation, kind)
        body = parse_chat_body(self.read_body())
        if body.model not in self.services.state.configuration.models:
            raise SendLatch().refuse(
                ErrorCode.UNKNOWN_MODEL, f"no model {body.model!r}", status=404
            )
        chat = Chat(
            request_id=self.request_id,
            organisation=organisation,
            service_class=service_class,
            kind=kind,
            body=body,
            deadline=self.compute_deadline(service_class),
        )
        self.services.metrics.count(f"chats.{service_class.name}")
        serve = self._serve_stream if body.stream else self._serve_whole
        await self.run(partial(serve, chat), organisation)

    async def _serve_whole(self, chat: Chat) -> None:
        sink = _CollectingSink()
        await self.services.chats.serve(chat, sink)
        self.set_header("X-Request-Id", self.request_id)
        self.finish(sink.make_completion(chat))

    async def _serve_stream(self, chat: Chat) -> None:
        sink = _StreamingSink(handler=self, chat=chat)
        try:
            await self.services.chats.serve(chat, sink)
        except Refusal as refusal:
            if not sink.begun:
                raise
            # The status line has gone out; the error event and the missing end say it.
            self.write(encode_json_event(encode_refusal(refusal), name="error"))
            self.services.metrics.count(f"errors.{refusal.code}")
            await self.finish()
            return
        sink.begin()
        self.write(encode_event(DONE))
        await self.finish()


class _CollectingSink(AnswerSink):
    """Keeps an answer until it is whole."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.finish_reason: str | None = None

    async def write(self, pieces: list[AnswerPiece]) -> None:
        """Keep the pieces."""
        self.texts.extend(piece.text for piece in pieces)
        self.finish_reason = pieces[-1].finish_reason

    def make_completion(self, chat: Chat) -> dict[str, Any]:
        """Return the body of the whole answer."""
        prompt_tokens = chat.body.count_prompt_tokens()
        return {
            "id": chat.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": chat.body.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(self.texts)},
                    "finish_reason": self.finish_reason,
                }
            ],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": len(self.texts),
                "total_tokens": prompt_tokens + len(self.texts),
            },
        }


class _StreamingSink(AnswerSink):
    """Passes pieces on as server-sent events."""

    def __init__(self, *, handler: ChatHandler, chat: Chat) -> None:
        self.begun = False
        self._handler = handler
        self._prefix = json.dumps(
            {
                "id": chat.request_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": chat.body.model,
            },
            separators=(",", ":"),
        )[:-1]

    def begin(self) -> None:
        """Set the headers, before the first byte of the answer."""
        if not self.begun:
            self.begun = True
            self._handler.set_header("Content-Type", "text/event-stream")
            self._handler.set_header("Cache-Control", "no-cache")
            self._handler.set_header("X-Request-Id", self._handler.request_id)

    async def write(self, pieces: list[AnswerPiece]) -> None:
        """Send the pieces in one write; waits while the caller reads slowly."""
        self.begin()
        self._handler.write(b"".join(self._encode(piece) for piece in pieces))
        await self._handler.flush()

    def _encode(self, piece: AnswerPiece) -> bytes:
        content = json.dumps(piece.text)
        reason = json.dumps(piece.finish_reason)
        choice = f'[{{"index":0,"delta":{{"content":{content}}},"finish_reason":{reason}}}]'
        return encode_event(f'{self._prefix},"choices":{choice}}}')


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models of the configuration."""
        self.read_request_id()
        self.find_caller()
        models = self.services.state.configuration.models.values()
        data = [{"id": m.name, "object": "model", "version": m.version} for m in models]
        self.finish({"object": "list", "data": data})


class AddressesHandler(CallerHandler):
    """``GET /v1/addresses``: which entries callers may use, without a key."""

    def get(self) -> None:
        """List instances to use, with the time for which the answer may be kept.

        The query's ``failure_domain`` names the caller's own, or its region.
        """
        answer = choose_addresses(
            self.services.state.view,
            caller_hint=self.get_query_argument(
                "failure_domain", self.services.state.instance.failure_domain.name
            ),
            seed=next(self.services.address_seeds),
            validity_s=self.services.address_validity_s,
        )
        addresses = [_show_address(member.instance) for member in answer.members]
        self.finish({"addresses": addresses, "valid_for_s": round(answer.valid_for_s, 3)})


def _show_address(instance: Instance) -> dict[str, str]:
    return {
        "instance": instance.name,
        "failure_domain": instance.failure_domain.name,
        "address": instance.caller_address,
    }


class HealthHandler(CallerHandler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Answer."""
        self.finish({"status": "alive"})


class ReadyHandler(CallerHandler):
    """``GET /readyz``: callers are served."""

    def get(self) -> None:
        """Answer 200, or 503 without a configuration or while leaving."""
        self.require_ready()
        self.finish({"status": "ready", "version": self.services.state.configuration.version})


class UnknownPathHandler(CallerHandler):
    """All other paths."""

    def prepare(self) -> None:
        """Refuse."""
        raise SendLatch().refuse(ErrorCode.NOT_FOUND, "no such path", status=404)


def make_caller_routes(services: CallerServices) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the routes of this module."""
    arguments = {"services": services}
    return [
        ("/v1/chat/completions", ChatHandler, arguments),
        ("/v1/addresses", AddressesHandler, arguments),
        ("/v1/models", ModelsHandler, arguments),
        ("/healthz", HealthHandler, arguments),
        ("/readyz", ReadyHandler, arguments),
    ]


def make_application(routes: list[Any], services: CallerServices) -> Application:
    """Return the application of all routes, unknown paths answered as coded errors."""
    return Application(
        routes,
        default_handler_class=UnknownPathHandler,
        default_handler_args={"services": services},
        log_function=lambda _: None,
    )

"""Stand-in for an engine or service: deterministic responses, recorded runs, injected faults."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import h11

from guavamast.platform.standins.answer_body import WHOLE, AnswerBody, AnswerEnding, Closing
from guavamast.platform.standins.endless_answer import EndlessAnswer, write_endless_answer
from guavamast.platform.standins.kv_cache import KvCache, count_tokens
from guavamast.platform.standins.lethal_requests import (
    LETHAL_DELAY_S,
    LethalEnding,
    LethalRequests,
)
from guavamast.platform.standins.prefill_batch import DEFAULT_URGENCY
from guavamast.platform.standins.slow_connections import limit_buffers, read_slowly
from guavamast.relay.response_end import BodyFraming

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from guavamast.platform.standins.prefill_batch import PrefillBatch
    from guavamast.relay.messages import Header

EVENTS_PER_STREAM = 6
"""Default number of events in a stream."""
EVENT_INTERVAL_S = 0.02
COMMENT = b": keep-alive\n\n"
KEEP_ALIVE_S = 5
DEFAULT_VERSION = "v1"
"""Software version of an engine that is given none."""
EXIT_S = 0.02
"""Seconds in which an engine that exits listens on after it has closed its connections."""
REJECTION_WINDOW_S = 1.0
"""Seconds over which rejections are counted."""


CUT_IN_THIRD_EVENT = AnswerEnding(pieces=2, part_bytes=9, closing=Closing.CLOSE)


class EngineFault(StrEnum):
    """Fault that the engine injects."""

    NONE = "none"
    FULL = "full"
    """Rejects each request as not run."""
    ERROR = "error"
    """Runs the request and answers 500."""
    CUT = "cut"
    """Closes the connection in the middle of a stream's third event."""
    LOSE = "lose"
    """Runs the request and closes the connection without a response."""
    EXTRA = "extra"
    """Sends a second response, to another request, after each response that is no stream, on a
    connection that stays open."""
    CROSSED = "crossed"
    """Runs the request and answers with the id of another one; every other time it rejects that."""
    HANG = "hang"
    """Runs the request and never answers."""
    UNSEALED = "unsealed"
    """Omits the signature."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One request that the engine began to run."""

    request_id: str
    tenant: str
    target: str
    body: bytes
    headers: dict[str, str]
    began: float
    """Seconds on the monotonic clock."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request that reached the engine, run or not."""

    request_id: str
    at: float
    """Seconds on the monotonic clock."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunTimes:
    """Times of one run that is over, in seconds on the monotonic clock."""

    request_id: str
    began: float
    ended: float


class EngineStandIn:
    """Serves one request at a time on each connection, as engines do.

    Args:
        engine_id: Its id; requests that expect another are rejected.
        version: Version of its software, which its row and its events state.
    """

    def __init__(self, *, engine_id: str, version: str = DEFAULT_VERSION) -> None:
        self.engine_id = engine_id
        self.version = version
        self.fault = EngineFault.NONE
        self.framing: BodyFraming | None = None
        """Framing of its answers; None for chunks for streams and a length for all others."""
        self.ending: AnswerEnding = WHOLE
        """Where and how its answers end."""
        self.endless: EndlessAnswer | None = None
        """What it sends without end in place of an answer; None for whole answers."""
        self.lethal = LethalRequests()
        """Requests that end it."""
        self.processing_s = 0.0
        """Seconds that a request takes before its response begins."""
        self.events = EVENTS_PER_STREAM
        """Number of events in each stream."""
        self.event_interval_s = EVENT_INTERVAL_S
        """Seconds between two events of a stream."""
        self.stream_durations: Mapping[str, float] = {}
        """Seconds that the streams of some requests last, by request id."""
        self.comments_before_event = 0
        """Comments in a stream before each event."""
        self.padding_bytes = 0
        """Bytes that each answer that is no stream has in addition."""
        self.padded_target = b""
        """Part of the targets whose answers have them."""
        self.stray_response = b""
        """Bytes of a response to another request that it sends as it begins to run a request."""
        self.send_buffer_bytes: int | None = None
        """Send buffer of its connections; None for that of the system."""
        self.event_padding_bytes = 0
        """Bytes that each event of a stream has beside its number."""
        self.runs: list[Run] = []
        self.abandoned = 0
        """Number of requests whose connection closed before the response was complete."""
        self.connections = 0
        self.on_run: Callable[[Run], None] | None = None
        """Called with each request before its answer begins."""
        self.on_crash: Callable[[], None] | None = None
        """Called when this engine has ended by itself."""
        self.slots: int | None = None
        """Requests that run at a time; each further one is rejected. None for any number."""
        self.rejection_limit: int | None = None
        """Rejections in a second beyond which the engine ends, stated in all responses."""
        self.rate_limit: str | None = None
        """Requests in a second that it takes from all instances, stated in all responses; it only
        counts them."""
        self.rate_limit_named_at: float | None = None
        """Monotonic time of the first response that stated one; None before it."""
        self.arrivals: list[Arrival] = []
        """All requests that reached it, in order."""
        self.rejections: list[float] = []
        """Monotonic times of the requests that it rejected since it had no free slot."""
        self.completed: list[RunTimes] = []
        """Runs whose responses were complete."""
        self.aborted: list[RunTimes] = []
        """Runs that ended before, most of them as their connection closed. An engine sees that when
        it sends the next part."""
        self.batch: PrefillBatch | None = None
        """Slots, prefill and order of the requests; None if each begins at once."""
        self.silent_until = 0.0
        """Monotonic time until which it sends nothing, and goes on."""
        self.unread_s: float | None = None
        """Seconds after which it cuts an answer that stays unread; None to wait for ever."""
        self.read_bytes_per_s: float | None = None
        """Bytes of requests that it reads in a second; None for any number."""
        self.speed = 1.0
        """Factor on the speed at which it prefills, and sends events: 0.5 takes twice the time."""
        self.kv_cache = KvCache()
        """Memory for the requests that it holds; it ends once they exceed it."""
        self.running = 0
        """Requests that it works on."""
        self.born_ms = int(time.time() * 1000)
        """Unix milliseconds of its start."""
        self._crashed = False
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}

    @property
    def port(self) -> int:
        """The listening port."""
        return self._port

    async def listen(self, port: int = 0) -> int:
        """Listen on loopback and return the port, chosen by the system unless given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        if self.send_buffer_bytes is not None:
            for listening in self._server.sockets:  # Connections inherit the option.
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes)
        self._port = int(self._server.sockets[0].getsockname()[1])
        return self._port

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._crashed = True
        self._server.close()
        tasks = list(self._writers.values())
        for writer in list(self._writers):
            writer.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _crash(self) -> None:
        """End at once: stop listening and close all connections."""
        if self._crashed:
            return
        self._crashed = True
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        if self.on_crash is not None:
            self.on_crash()

    async def _exit(self) -> None:
        """End: close all connections, and then stop listening."""
        for writer in list(self._writers):
            writer.close()
        await asyncio.sleep(EXIT_S)
        self._crash()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers[writer] = task
        self.connections += 1
        if self.unread_s is not None or self.read_bytes_per_s is not None:
            limit_buffers(writer)
        http = h11.Connection(our_role=h11.SERVER)
        try:
            while await self._serve_one(http, reader, writer):
                http.start_next_cycle()
        except (ConnectionError, h11.RemoteProtocolError):
            self.abandoned += 1
        finally:
            del self._writers[writer]
            writer.close()

    async def _serve_one(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request and return whether the connection stays open."""
        request: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._read(reader))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        self._record_arrival(request)
        if self.fault is EngineFault.HANG:
            run = self._record_run(request, body)
            await reader.read()
            self.abandoned += 1
            self.aborted.append(_end_run(run))
            return False
        return await self._respond(http, writer, request, body)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        if self.read_bytes_per_s is None:
            return await reader.read(65_536)
        return await read_slowly(reader, bytes_per_s=self.read_bytes_per_s)

    def _record_arrival(self, request: h11.Request) -> None:
        ids = [
            value.decode("latin-1") for name, value in request.headers if name == b"x-attempt-id"
        ]
        self.arrivals.append(Arrival(request_id=ids[0] if ids else "", at=time.monotonic()))

    def _record_run(self, request: h11.Request, body: bytes) -> Run:
        headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
        run = Run(
            request_id=headers.get("x-attempt-id", ""),
            tenant=headers.get("x-tenant", ""),
            target=request.target.decode(),
            body=body,
            headers=headers,
            began=time.monotonic(),
        )
        self.runs.append(run)
        if self.on_run is not None:
            self.on_run(run)
        return run

    async def _respond(
        self, http: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request, body: bytes
    ) -> bool:
        headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
        if headers.get("x-expect-instance", self.engine_id) != self.engine_id:
            instance = ("X-Instance-Id", self.engine_id)
            return await self._send(http, writer, 421, [*_echo_id(headers), instance], b"")
        if self.fault is EngineFault.FULL:
            return await self._reject(http, writer, headers)
        if self.slots is not None and self.running >= self.slots:
            self._count_rejection()
            return await self._reject(http, writer, headers)
        self.running += 1
        try:
            return await self._run(http, writer, request, body)
        finally:
            self.running -= 1

    async def _reject(
        self, http: h11.Connection, writer: asyncio.StreamWriter, headers: Mapping[str, str]
    ) -> bool:
        rejection = [*_echo_id(headers), ("X-Not-Executed", "1")]
        return await self._send(http, writer, 503, rejection, b"")

    def _count_rejection(self) -> None:
        """Count a rejection for want of a slot, and end if there were too many in a second."""
        now = time.monotonic()
        self.rejections.append(now)
        recent = sum(at > now - REJECTION_WINDOW_S for at in self.rejections)
        if self.rejection_limit is not None and recent > self.rejection_limit:
            self._crash()

    async def _run(
        self, http: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request, body: bytes
    ) -> bool:
        run = self._record_run(request, body)
        writer.write(self.stray_response)
        tokens = count_tokens(run.headers)
        try:
            if not self.kv_cache.hold(tokens):
                self._crash()
                return False
            return await self._run_in_batch(http, writer, request, run)
        finally:
            self.kv_cache.release(tokens)
            if not self._has_just_completed(run):
                self.aborted.append(_end_run(run))

    async def _run_in_batch(
        self, http: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request, run: Run
    ) -> bool:
        if self.batch is None:
            return await self._answer(http, writer, request, run)
        await self.batch.join(
            urgency=int(run.headers.get("x-request-urgency", DEFAULT_URGENCY)),
            tokens=int(run.headers.get("x-token-usage", "0").partition(",")[0]),
            speed=self.speed,
        )
        try:
            return await self._answer(http, writer, request, run)
        finally:
            self.batch.leave()

    async def _answer(
        self, http: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request, run: Run
    ) -> bool:
        request_id = run.request_id
        lethal_ending = self.lethal.find_ending(body=run.body, headers=run.headers)
        if lethal_ending is not None:
            await self._end_under(http, writer, run, lethal_ending)
            return False
        await asyncio.sleep(self.processing_s / self.speed)
        await self._wait_for_silence()
        if self.endless is not None:
            seal = f"seal-{self.engine_id}"
            await write_endless_answer(writer, self.endless, request_id, seal)
        if self.fault is EngineFault.LOSE:
            return False
        common = self._build_headers(request_id)
        if self.fault is EngineFault.CROSSED and len(self.runs) % 2 == 0:
            return await self._send(http, writer, 503, [*common, ("X-Not-Executed", "1")], b"")
        if self.fault is EngineFault.ERROR:
            return await self._send(http, writer, 500, common, b"failed")
        is_stream = b"stream" in request.target
        if is_stream:
            ending = CUT_IN_THIRD_EVENT if self.fault is EngineFault.CUT else self.ending
            framing = self.framing or BodyFraming.CHUNKED
            keep_open = await self._stream(
                http, writer, common, run, framing=framing, ending=ending
            )
        else:
            padded = self.padded_target in request.target
            answer = encode_answer(request_id) + b" " * (self.padding_bytes * padded)
            keep_open = await self._send(http, writer, 200, common, answer, ending=self.ending)
        if self.ending.closing is Closing.CRASH:
            self._crash()
        if self.ending.closing is Closing.EXIT:
            await self._exit()
        self.completed.append(_end_run(run))
        if self.fault is EngineFault.EXTRA and keep_open and not is_stream:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Engine-Seal: s\r\n"
                b"Content-Length: 5\r\n\r\nwrong"
            )
        return keep_open

    def _build_headers(self, request_id: str) -> list[Header]:
        """Return the headers of all answers, as far as the fault lets it send them."""
        response_id = "other" if self.fault is EngineFault.CROSSED else request_id
        headers = [("X-Attempt-Id", response_id), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        if self.fault is not EngineFault.UNSEALED:
            headers.append(("X-Engine-Seal", f"seal-{self.engine_id}"))
        return headers

    async def _end_under(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        run: Run,
        lethal_ending: LethalEnding,
    ) -> None:
        """End at a request, after what the engine still sends of the stream."""
        await asyncio.sleep(LETHAL_DELAY_S)
        if not self._crashed and lethal_ending is not LethalEnding.BEFORE_RESPONSE:
            headers = [
                ("X-Attempt-Id", run.request_id),
                ("X-Engine-Seal", f"seal-{self.engine_id}"),
            ]
            await self._stream(
                http,
                writer,
                headers,
                run,
                framing=BodyFraming.CHUNKED if lethal_ending.framed else BodyFraming.CONNECTION,
                ending=lethal_ending.build_answer_ending(),
            )
        self._crash()

    async def _wait_for_silence(self) -> None:
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    def _has_just_completed(self, run: Run) -> bool:
        """Return whether a run that ends in this turn of the loop was complete."""
        last = self.completed[-1] if self.completed else None
        return last is not None and (last.request_id, last.began) == (run.request_id, run.began)

    async def _stream(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        headers: list[Header],
        run: Run,
        *,
        framing: BodyFraming,
        ending: AnswerEnding,
    ) -> bool:
        first = int(run.headers.get("last-event-id", "0")) + 1
        numbers = range(first, self.events + 1)
        body = AnswerBody(
            http=http,
            writer=writer,
            framing=framing,
            ending=ending,
            pieces=[
                COMMENT * self.comments_before_event
                + encode_event(run.request_id, number, self.version, self.event_padding_bytes)
                for number in numbers
            ],
            unread_s=self.unread_s,
        )
        body.start(200, [*headers, *self._list_limits(), ("Content-Type", "text/event-stream")])
        interval_s = self._find_interval(run)
        for piece in body.pieces:
            await body.write(piece)
            await asyncio.sleep(interval_s / self.speed)
            await self._wait_for_silence()
        return await body.end()

    def _find_interval(self, run: Run) -> float:
        """Return the seconds between two events of a stream."""
        duration_s = self.stream_durations.get(run.request_id)
        return self.event_interval_s if duration_s is None else duration_s / self.events

    def _list_limits(self) -> list[Header]:
        """Return the limits that the next response states."""
        if self.rate_limit is not None and self.rate_limit_named_at is None:
            self.rate_limit_named_at = time.monotonic()
        limits = (("Server-Brittle", self.rejection_limit), ("Server-Limit", self.rate_limit))
        return [(name, str(value)) for name, value in limits if value is not None]

    async def _send(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        headers: list[Header],
        data: bytes,
        *,
        ending: AnswerEnding = WHOLE,
    ) -> bool:
        body = AnswerBody(
            http=http,
            writer=writer,
            framing=(self.framing if status == 200 else None) or BodyFraming.LENGTH,
            ending=ending,
            pieces=[data],
            unread_s=self.unread_s,
        )
        body.start(status, [*headers, *self._list_limits()])
        for piece in body.pieces:
            await body.write(piece)
        return await body.end()


def _end_run(run: Run) -> RunTimes:
    """Return the times of a run that ends now."""
    return RunTimes(request_id=run.request_id, began=run.began, ended=time.monotonic())


def _echo_id(headers: Mapping[str, str]) -> list[Header]:
    """Return the id of a request as its response states it."""
    return [("X-Attempt-Id", headers["x-attempt-id"])] if "x-attempt-id" in headers else []


def encode_answer(request_id: str) -> bytes:
    """Return the body of an answer that is no stream; all engines send the same bytes."""
    return b"answer " + request_id.encode()


def encode_event(
    request_id: str, number: int, version: str = DEFAULT_VERSION, padding_bytes: int = 0
) -> bytes:
    """Return an event of a stream; all engines of a software version send the same bytes."""
    padding = "x" * padding_bytes
    return f"id: {number}\ndata: {request_id}-{number} {version}{padding}\n\n".encode()

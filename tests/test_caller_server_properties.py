"""Properties of a drain while callers send at any turn of the loop, over socket pairs."""

from __future__ import annotations

import asyncio
import socket
import unittest
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Final

import h11
from hypothesis import example, given
from hypothesis import strategies as st
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from guavamast.caller_server import LINGER_S, CallerServer, LastResponses, encode_response
from tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from guavamast.caller_connection import ConnectionTrace

NOT_RUN: Final = b"not run"
UNKNOWN: Final = b"unknown"
RESPONSES: Final = LastResponses(
    not_run=encode_response(503, [], NOT_RUN), unfinished=encode_response(504, [], UNKNOWN)
)
DRAIN_S: Final = 1.0
"""Seconds for the requests that are being served when the drain begins."""
SETTLE_S: Final = 0.1
"""Seconds for the loop to end the drain; virtual time, so any machine takes none."""
PAUSE_S: Final = 0.01
"""Seconds of a pause, shorter than the interval of the server's checks."""
CALLERS: Final = 3


class Form(Enum):
    """How a request is sent."""

    BARE = auto()
    SIZED = auto()
    CHUNKED = auto()
    EXPECTING = auto()
    """Its body may wait until the server says that it continues."""
    REJECTED = auto()
    """The server responds to its head already."""


class Act(Enum):
    """What happens in a step."""

    SEND = auto()
    """A caller sends its next part."""
    RESPOND = auto()
    """A whole response is written."""
    BEGIN = auto()
    """A response without a length begins."""
    END = auto()
    """Such a response ends."""
    TURN = auto()
    """The loop turns once."""
    PAUSE = auto()
    """Nothing happens for a while."""
    STOP_KEEPING = auto()
    """The server closes each connection after its next response from here on."""


HEADERS: Final = {
    Form.BARE: b"",
    Form.SIZED: b"Content-Length: 4\r\n",
    Form.CHUNKED: b"Transfer-Encoding: chunked\r\n",
    Form.EXPECTING: b"Content-Length: 4\r\nExpect: 100-continue\r\n",
    Form.REJECTED: b"Content-Length: 4\r\n",
}
BODIES: Final = {Form.BARE: b"", Form.CHUNKED: b"1\r\nb\r\n3\r\nody\r\n0\r\n\r\n"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A step of a run."""

    act: Act
    choice: int
    """Chooses a caller or a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What the callers send, and the steps of a run."""

    forms: list[list[Form]]
    """The requests of each caller, sent without waiting for responses."""
    cuts: list[list[int]]
    """The lengths of the parts in which each caller sends; the rest comes at once."""
    before: list[Step]
    """Steps before the drain begins."""
    during: list[Step]


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A response as its caller received it."""

    body: bytes
    complete: bool
    closes: bool
    """Whether it says that its connection is closed."""


def encode_request(name: str, form: Form) -> bytes:
    """Return a whole request."""
    head = b"POST /%s/%s HTTP/1.1\r\nHost: h\r\n" % (form.name.encode(), name.encode())
    return head + HEADERS[form] + b"\r\n" + BODIES.get(form, b"body")


def cut_parts(sent: bytes, lengths: list[int]) -> list[bytes]:
    """Return the parts in which a caller sends."""
    parts = []
    for length in lengths:
        parts.append(sent[:length])
        sent = sent[length:]
    return [part for part in [*parts, sent] if part]


def decode_replies(data: bytes) -> list[Reply]:
    """Return the responses in what a caller received."""
    replies = []
    while data:
        reader = h11.Connection(our_role=h11.CLIENT)
        reader.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        reader.send(h11.EndOfMessage())
        reader.receive_data(data)
        body, closes = b"", False
        while not isinstance(event := reader.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Response):
                closes = (b"connection", b"close") in event.headers
            elif isinstance(event, h11.Data):
                body += event.data
        complete = isinstance(event, h11.EndOfMessage)
        replies.append(Reply(body=body, complete=complete, closes=closes))
        data = reader.trailing_data[0] if complete else b""
    return replies


class Receiver(HTTPMessageDelegate):
    """Receives one request."""

    def __init__(self, delegate: Delegate, connection: HTTPConnection) -> None:
        self._delegate = delegate
        self.connection = connection
        self.name = ""
        self.begun = False

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        del headers
        assert isinstance(start_line, RequestStartLine)
        _, form, self.name = start_line.path.split("/")
        if Form[form] is Form.REJECTED:
            # The rest of the request isn't read, which ends the connection.
            self.respond(closes=True)

    def finish(self) -> None:
        self._delegate.complete(self)

    def respond(self, *, closes: bool = False) -> None:
        """Send a whole response."""
        body = self.name.encode()
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        if closes:
            headers["Connection"] = "close"
        self.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, ""), headers, body)
        self.connection.finish()

    def begin(self) -> None:
        """Begin a response without a length."""
        self.begun = True
        start = ResponseStartLine("HTTP/1.1", 200, "")
        self.connection.write_headers(start, HTTPHeaders(), self.name.encode())


class Delegate(HTTPServerConnectionDelegate):
    """Records the requests that reach it completely."""

    def __init__(self) -> None:
        self.draining = False
        self.pending: list[Receiver] = []
        self.completed: list[str] = []
        self.late: list[str] = []
        """Requests that became complete after the first turn of the drain."""

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> Receiver:
        del server_conn
        return Receiver(self, request_conn)

    def complete(self, request: Receiver) -> None:
        """Record a complete request."""
        self.completed.append(request.name)
        self.pending.append(request)
        if self.draining:
            self.late.append(request.name)


class Run:
    """One run of a plan."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        loop = asyncio.get_running_loop()
        self.delegate = Delegate()
        self._server = CallerServer(
            self.delegate, read_time=loop.time, on_unanswered=lambda _: None
        )
        self._callers: list[socket.socket] = []
        self._unsent: list[list[bytes]] = []
        for number, (forms, cuts) in enumerate(zip(plan.forms, plan.cuts, strict=True)):
            sent = b"".join(
                encode_request(f"{number}.{index}", form) for index, form in enumerate(forms)
            )
            self._unsent.append(cut_parts(sent, cuts))
            self._connect(number)
        self.unfinished: list[ConnectionTrace] = []
        self.took_s = 0.0
        self.replies: list[list[Reply]] = []

    def _connect(self, number: int) -> None:
        caller, accepted = socket.socketpair()
        caller.setblocking(False)
        accepted.setblocking(False)
        self._callers.append(caller)
        self._server._accept(accepted, (str(number), 0))  # noqa: SLF001

    async def play(self) -> None:
        """Take all steps, and read what the callers received."""
        await self._take(self._plan.before)
        draining = asyncio.create_task(self._drain())
        await self._take(self._plan.during)
        await draining
        for caller in self._callers:
            self.replies.append(decode_replies(self._receive(caller)))
            caller.close()

    async def _drain(self) -> None:
        began_at = asyncio.get_running_loop().time()
        self.delegate.draining = True
        self.unfinished = await self._server.drain(deadline=began_at + DRAIN_S, responses=RESPONSES)
        self.took_s = asyncio.get_running_loop().time() - began_at

    async def _take(self, steps: list[Step]) -> None:
        for step in steps:
            if step.act is Act.TURN:
                await asyncio.sleep(0)
            elif step.act is Act.PAUSE:
                await asyncio.sleep(PAUSE_S)
            else:
                self._act(step)

    def _act(self, step: Step) -> None:
        if step.act is Act.STOP_KEEPING:
            self._server.disable_keep_alive()
        elif step.act is Act.SEND:
            self._send(step.choice % len(self._callers))
        else:
            self._serve(step)

    def _send(self, number: int) -> None:
        if not self._unsent[number]:
            return
        try:
            self._callers[number].send(self._unsent[number].pop(0))
        except OSError:  # The server has closed the connection.
            self._unsent[number].clear()

    def _serve(self, step: Step) -> None:
        pending = [one for one in self.delegate.pending if one.begun is (step.act is Act.END)]
        if not pending:
            return
        request = pending[step.choice % len(pending)]
        if step.act is Act.BEGIN:
            request.begin()
            return
        self.delegate.pending.remove(request)
        if step.act is Act.RESPOND:
            request.respond()
        else:
            request.connection.finish()

    def _receive(self, caller: socket.socket) -> bytes:
        received = b""
        try:
            while data := caller.recv(65_536):
                received += data
        except OSError:  # Nothing more, or a reset after what was received.
            pass
        return received


def draw_steps(acts: list[Act], *, size: int) -> st.SearchStrategy[list[Step]]:
    """Return steps of some kinds."""
    choice = st.integers(0, CALLERS - 1)
    return st.lists(st.builds(Step, act=st.sampled_from(acts), choice=choice), max_size=size)


PLANS: Final = st.builds(
    Plan,
    forms=st.lists(
        st.lists(st.sampled_from(Form), min_size=1, max_size=4),
        min_size=CALLERS,
        max_size=CALLERS,
    ),
    cuts=st.lists(st.lists(st.integers(1, 120), max_size=5), min_size=CALLERS, max_size=CALLERS),
    before=draw_steps(list(Act), size=25),
    during=draw_steps([act for act in Act if act is not Act.STOP_KEEPING], size=40),
)


REQUEST_BEHIND_REJECTED: Final = Plan(
    forms=[[Form.REJECTED, Form.BARE], [Form.BARE], [Form.BARE]],
    cuts=[[], [], []],
    before=[],
    during=[Step(act=Act.SEND, choice=0)],
)


class DrainPropertiesTest(unittest.TestCase):
    """A drain while requests become complete, and responses end, at any turn of the loop."""

    @given(PLANS)
    @example(REQUEST_BEHIND_REJECTED)
    def test_each_caller_knows_what_became_of_its_requests(self, plan: Plan) -> None:
        """Guards against a request that is taken by a drain, lost by it, or run though refused.

        Callers send on while the server ends: their bytes cross responses, the end of their
        connections and each other. A request that is complete too late to be served would be cut
        at the deadline; one that runs after its caller read "not run" would run twice.
        """

        async def play() -> Run:
            run = Run(plan)
            await run.play()
            return run

        run = run_in_virtual_time(play())
        self.assertEqual(run.delegate.late, [])
        self.assertLessEqual(run.took_s, DRAIN_S + 2 * LINGER_S + SETTLE_S)
        addresses = [trace.address for trace in run.unfinished]
        self.assertEqual(len(addresses), len(set(addresses)))
        for number, replies in enumerate(run.replies):
            self.check_replies(run, number, replies, given_up=f"{number}:0" in addresses)

    def check_replies(self, run: Run, number: int, replies: list[Reply], *, given_up: bool) -> None:
        """Check what one caller received."""
        completed = [name for name in run.delegate.completed if name.startswith(f"{number}.")]
        for index, reply in enumerate(replies):
            name = f"{number}.{index}"
            if reply.body == NOT_RUN:
                self.assertNotIn(name, completed)
            elif reply.body != UNKNOWN:
                self.assertEqual(reply.body, name.encode())
        answered = [
            f"{number}.{index}"
            for index, reply in enumerate(replies)
            if reply.complete and reply.body != UNKNOWN
        ]
        unanswered = [name for name in completed if name not in answered]
        self.assertEqual(len(unanswered), int(given_up))
        if not given_up:
            self.assertTrue(replies and replies[-1].complete and replies[-1].closes)


if __name__ == "__main__":
    unittest.main()

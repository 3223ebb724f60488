"""Stand-in for the platform's calls that one instance at a time makes."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

LATE_S = 6.0
"""Seconds at most after which a late call is carried out."""
SLOW_S = 0.2
"""Seconds that a slow answer takes."""


class ProviderFault(StrEnum):
    """Fault that the provider injects."""

    NONE = "none"
    SLOW = "slow"
    """Answers late."""
    LATE = "late"
    """Leaves calls unanswered, and carries them out seconds later."""
    LOSES_ANSWERS = "loses_answers"
    """Carries calls out and never answers them."""
    SILENT = "silent"
    """Neither carries calls out nor answers them."""
    BUSY = "busy"
    """Answers 503."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedCall:
    """A call that the provider got."""

    at: float
    """Seconds on the monotonic clock at which it was carried out, or rejected."""
    path: str
    holder: str
    fencing: int
    fields: dict[str, Any]
    status: int

    @property
    def subject(self) -> str:
        """What fencing numbers are compared for."""
        if self.path == "/usage":
            return "usage"
        return f"{self.fields['service']} {self.fields['zone']}"


class ProviderStandIn:
    """Accepts usage reports and orders for engines.

    Args:
        fenced: Whether calls with an older fencing number are rejected.
        calls_per_s: Calls per second beyond which they are rejected.
        random: Chooses how late calls are carried out.
    """

    def __init__(self, *, fenced: bool = True, calls_per_s: float = 50.0, random: Random) -> None:
        self.fenced = fenced
        self.fault = ProviderFault.NONE
        self.unavailable: set[tuple[str, bool]] = set()
        """Failure domains and kinds of which no engines are to be had."""
        self.calls: list[ReceivedCall] = []
        """All calls in the order in which they took effect or were rejected."""
        self.on_order: Callable[[dict[str, Any]], None] | None = None
        """Called with each order that is carried out."""
        self._calls_per_s = calls_per_s
        self._random = random
        self._recent: list[float] = []
        self._highest: dict[str, int] = {}
        self._late: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(self._handle_request)

    def listen(self) -> int:
        """Listen on loopback and return the port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop accepting connections, and forget what is late."""
        self._server.stop()
        for task in self._late:
            task.cancel()

    def list_usage(self) -> list[ReceivedCall]:
        """Return the usage reports that were accepted."""
        return [call for call in self.calls if call.path == "/usage" and call.status == 200]

    def find_violations(self) -> list[str]:
        """Return each report with other counts, and each fencing number of two machines."""
        found = []
        counts: dict[int, dict[str, int]] = {}
        for call in self.list_usage():
            window = call.fields["window_id"]
            if counts.setdefault(window, call.fields["counts"]) != call.fields["counts"]:
                found.append(f"two counts for window {window}")
        holders: dict[tuple[str, int], str] = {}
        for call in self.calls:
            key = (call.subject, call.fencing)
            if holders.setdefault(key, call.holder) != call.holder:
                found.append(f"two holders sent {key}")
        return found

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        if self.fault is ProviderFault.SILENT:
            return
        if self.fault is ProviderFault.BUSY:
            _write_response(request, 503)
        elif self._is_over_rate():
            _write_response(request, 429)
        elif self.fault is ProviderFault.LATE:
            self._start(self._carry_out_late(request))
        elif self.fault is ProviderFault.SLOW:
            self._start(self._answer_slowly(request))
        else:
            status = self._carry_out(request)
            if self.fault is not ProviderFault.LOSES_ANSWERS:
                _write_response(request, status)

    def _is_over_rate(self) -> bool:
        now = time.monotonic()
        self._recent = [at for at in self._recent if now - at < 1.0]
        if len(self._recent) >= self._calls_per_s:
            return True
        self._recent.append(now)
        return False

    def _start(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _carry_out_late(self, request: httputil.HTTPServerRequest) -> None:
        await asyncio.sleep(self._random.uniform(0.0, LATE_S))
        self._carry_out(request)

    async def _answer_slowly(self, request: httputil.HTTPServerRequest) -> None:
        await asyncio.sleep(SLOW_S)
        _write_response(request, self._carry_out(request))

    def _carry_out(self, request: httputil.HTTPServerRequest) -> int:
        call = self._decode(request)
        highest = self._highest.get(call.subject, 0)
        if self.fenced and call.fencing < highest:
            status = 409
        else:
            self._highest[call.subject] = max(highest, call.fencing)
            status = self._apply(call)
        self.calls.append(
            ReceivedCall(
                at=call.at,
                path=call.path,
                holder=call.holder,
                fencing=call.fencing,
                fields=call.fields,
                status=status,
            )
        )
        return status

    def _apply(self, call: ReceivedCall) -> int:
        if call.path == "/usage":
            return 200
        if (call.fields["zone"], bool(call.fields.get("spot"))) in self.unavailable:
            return 409
        if self.on_order is not None:
            self.on_order(call.fields)
        return 200

    def _decode(self, request: httputil.HTTPServerRequest) -> ReceivedCall:
        return ReceivedCall(
            at=time.monotonic(),
            path=request.path,
            holder=request.headers["X-Duty-Holder"],
            fencing=int(request.headers["X-Fencing-Token"]),
            fields=json.loads(request.body),
            status=0,
        )


def _write_response(request: httputil.HTTPServerRequest, status: int) -> None:
    if request.connection is None:
        return
    headers = httputil.HTTPHeaders({"Content-Type": "application/json", "Content-Length": "2"})
    start = httputil.ResponseStartLine("HTTP/1.1", status, "")
    request.connection.write_headers(start, headers, b"{}")
    request.connection.finish()

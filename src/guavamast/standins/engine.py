"""Stand-in for a model engine: batches, streams, resumes, cancels and fails on request.

Its response depends only on the prompt and the model, so that a test can recognise a complete,
correct response from any engine.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
import time
import zlib
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from tornado.iostream import StreamClosedError
from tornado.web import Application

from guavamast.event_stream import DONE, encode_event, encode_json_event
from guavamast.standins.listener import FaultHandler, Standin, StandinHandler

MIN_TOKENS: Final = 8
MAX_TOKENS: Final = 40
LENGTH_PATTERN: Final = re.compile(r"tokens=(\d{1,5});")
"""Prompt prefix that sets the length of the response."""
DEFAULT_MODELS: Final = MappingProxyType({"small": "1"})
WORDS: Final = ("grant", "van", "dossier", "note", "term", "ledger", "photo", "label")

if TYPE_CHECKING:
    from collections.abc import Mapping


def generate_response(*, model: str, prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the only correct response to a prompt."""
    seed = hashlib.sha256(f"{model}\x00{prompt}".encode()).digest()
    length_match = LENGTH_PATTERN.match(prompt)
    length = (
        int(length_match[1]) if length_match else MIN_TOKENS + seed[0] % (MAX_TOKENS - MIN_TOKENS)
    )
    suffix = seed.hex()[:12]
    words = [WORDS[seed[i % len(seed)] % len(WORDS)] for i in range(min(length, max_tokens))]
    return [f"{word}-{suffix}-{i} " for i, word in enumerate(words)]


class RunState(StrEnum):
    """State of a run."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    CUT = "cut"


@dataclass(slots=True, kw_only=True)
class Run:
    """One request that the engine has accepted."""

    request_id: str
    state: RunState = RunState.RUNNING
    tokens: int = 0
    """Tokens that this engine has generated for the request."""


@dataclass(slots=True, kw_only=True)
class EngineState:
    """State of the stand-in."""

    token_interval_s: float
    first_token_s: float
    checks_fencing: bool
    runs: list[Run] = field(default_factory=list)
    running_by_id: dict[str, Run] = field(default_factory=dict)
    fencing: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)
    models: dict[str, str]
    """Loaded models and their versions."""
    stale_report: dict[str, Any] | None = None

    def count_running(self) -> int:
        """Return the number of running requests."""
        return sum(run.state is RunState.RUNNING for run in self.running_by_id.values())

    def build_load_report(self) -> dict[str, Any]:
        """Return the current load report."""
        running = self.count_running()
        return {"as_of": time.time(), "running": running, "kv_free": max(0.0, 1 - running / 64)}


class EngineHandler(StandinHandler):
    """Base of the handlers: gives access to the state and applies the crash fault."""

    standin: EngineStandin

    @property
    def state(self) -> EngineState:
        """The engine's state."""
        return self.standin.state

    def prepare(self) -> None:
        """Close the connection while the engine is crashed."""
        if self.standin.is_faulty("crash"):
            self.drop_connection()


class ChatHandler(EngineHandler):
    """Streams a response."""

    async def post(self) -> None:
        """Generate tokens until the end, a cancel, or a fault."""
        body = self.read_json()
        run = Run(request_id=self.request.headers.get("X-Request-Id", ""))
        self.state.runs.append(run)
        self.state.running_by_id[run.request_id] = run
        try:
            await self.generate(body, run)
        except StreamClosedError:
            run.state = RunState.CANCELLED
        finally:
            if run.state is RunState.RUNNING:
                run.state = RunState.CUT
            self.state.running_by_id.pop(run.request_id, None)

    def on_connection_close(self) -> None:
        """Cancel the run of a client that has disconnected."""
        run = self.state.running_by_id.get(self.request.headers.get("X-Request-Id", ""))
        if run is not None and run.state is RunState.RUNNING:
            run.state = RunState.CANCELLED

    async def generate(self, body: dict[str, Any], run: Run) -> None:
        """Write the chunks of one run."""
        prompt = "".join(message["content"] for message in body["messages"])
        limit = body.get("max_tokens") or MAX_TOKENS
        tokens = generate_response(model=body["model"], prompt=prompt, max_tokens=limit)
        start = int(body.get("resume_from", 0))
        crc = zlib.crc32("".join(tokens[:start]).encode())
        self.set_header("Content-Type", "text/event-stream")
        await asyncio.sleep(self.state.first_token_s * self.compute_delay_factor())
        for index in range(start, len(tokens)):
            if await self.check_interrupted(run):
                return
            crc = zlib.crc32(tokens[index].encode(), crc)
            last = index == len(tokens) - 1
            self.write(encode_json_event(self.build_chunk(run, index, tokens[index], crc, last)))
            run.tokens += 1
            if self.state.token_interval_s or last:
                await self.flush()
                await asyncio.sleep(self.state.token_interval_s * self.compute_delay_factor())
        self.write(encode_event(DONE))
        run.state = RunState.DONE
        await self.finish()

    async def check_interrupted(self, run: Run) -> bool:
        """Apply a cancel or a fault that is due; return whether the run has ended early."""
        if run.state is not RunState.RUNNING:
            self.drop_connection()
            return True
        fault_due = run.tokens >= self.standin.fault.after_tokens
        if (fault_due and self.standin.is_faulty("cut")) or self.standin.is_faulty("crash"):
            await self.flush()
            run.state = RunState.CUT
            self.drop_connection()
            return True
        return False

    def compute_delay_factor(self) -> float:
        """Return the factor by which the straggle fault slows the engine."""
        return self.standin.fault.factor if self.standin.is_faulty("straggle") else 1.0

    def build_chunk(self, run: Run, index: int, text: str, crc: int, last: bool) -> dict[str, Any]:
        """Return one chunk, corrupted when a fault is due."""
        fault_due = run.tokens >= self.standin.fault.after_tokens
        request_id = run.request_id
        if fault_due and self.standin.is_faulty("cross"):
            request_id = next(
                (i for i in self.state.running_by_id if i != request_id), "another-request"
            )
        if fault_due and self.standin.is_faulty("garble"):
            text = text[::-1]
        if fault_due and self.standin.is_faulty("repeat"):
            index = max(0, index - 1)
        return {
            "id": request_id,
            "object": "chat.completion.chunk",
            "index": index,
            "crc32": crc,
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": text},
                    "finish_reason": "stop" if last else None,
                }
            ],
        }


class CancelHandler(EngineHandler):
    """Cancels a run."""

    def delete(self, request_id: str) -> None:
        """Stop a run; an unknown id counts as already ended."""
        run = self.state.running_by_id.get(request_id)
        if run is not None:
            run.state = RunState.CANCELLED
        self.write({"cancelled": run is not None})


class LoadHandler(EngineHandler):
    """Reports the load."""

    def get(self) -> None:
        """Respond with a load report, an old one under ``stale_load``."""
        state = self.state
        if self.standin.is_faulty("stale_load"):
            state.stale_report = state.stale_report or state.build_load_report()
            self.write(state.stale_report)
            return
        state.stale_report = None
        self.write(state.build_load_report())


class OrderHandler(EngineHandler):
    """Receives orders to load models."""

    def get(self) -> None:
        """Respond with the loaded models and the accepted orders."""
        self.write({"models": self.state.models, "orders": self.state.orders})

    def post(self) -> None:
        """Accept an order unless it has an old fencing number and the engine checks fencing."""
        order = self.read_json()
        fencing = int(order.get("fencing", 0))
        if self.state.checks_fencing and fencing < self.state.fencing:
            self.set_status(409)
            self.write({"error": {"code": "old_fencing", "message": str(self.state.fencing)}})
            return
        self.state.fencing = max(self.state.fencing, fencing)
        self.state.orders.append(order)
        if "model" in order:
            self.state.models[order["model"]] = str(order.get("version", ""))
        self.write({"taken": True})


class RunsHandler(EngineHandler):
    """Lists the runs."""

    def get(self) -> None:
        """Respond with all runs since the start."""
        runs = [
            {"request_id": run.request_id, "state": run.state, "tokens": run.tokens}
            for run in self.state.runs
        ]
        self.write({"runs": runs})


class EngineStandin(Standin):
    """An engine on loopback.

    Faults: ``crash`` closes all connections; ``straggle`` slows it by ``factor``; ``cut``,
    ``cross``, ``garble`` and ``repeat`` corrupt streams after ``after_tokens``; ``stale_load``
    freezes the load report.

    Args:
        token_interval_s: Time between tokens; 0 writes a complete response at once.
        first_token_s: Time before the first token.
        checks_fencing: Whether orders with an old fencing number are rejected.
        models: Loaded models and their versions.
    """

    def __init__(
        self,
        *,
        token_interval_s: float = 0.002,
        first_token_s: float = 0.005,
        checks_fencing: bool = True,
        models: Mapping[str, str] = DEFAULT_MODELS,
    ) -> None:
        super().__init__()
        self.state = EngineState(
            token_interval_s=token_interval_s,
            first_token_s=first_token_s,
            checks_fencing=checks_fencing,
            models=dict(models),
        )

    def create_application(self) -> Application:
        """Return the application."""
        arguments = {"standin": self}
        return Application(
            [
                ("/v1/chat/completions", ChatHandler, arguments),
                ("/v1/requests/(.+)", CancelHandler, arguments),
                ("/load", LoadHandler, arguments),
                ("/orders", OrderHandler, arguments),
                ("/runs", RunsHandler, arguments),
                ("/fault", FaultHandler, arguments),
            ],
            log_function=lambda _: None,
        )

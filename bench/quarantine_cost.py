"""Processor time of the quarantine for a request: ``python -m bench.quarantine_cost``.

Prints microseconds for the admission, the check before the send and the complete response of a
request with three parts in its prompt, while nothing is suspected and after engines have ended.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import Final
from unittest import mock

from tests.relay_fixtures import PROFILE, build_catalog, build_endpoint, build_request, build_route

from guavamast.relay.caller_gate import Admitted
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.messages import CallerRequest, PromptPart
from guavamast.relay.quarantine import (
    AnsweredParts,
    CrashGuard,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    PendingLosses,
    QuarantineLedger,
    name_part,
)
from guavamast.relay.relayed_response import RelayedResponse
from guavamast.relay.request_progress import begin_progress
from guavamast.text_output import format_table

REQUESTS: Final = 20_000
ENDS: Final = 6
LOST_AT_EACH: Final = 60
"""Requests lost at each ended engine, with as many parts of their own."""
BODY_BYTES: Final = (0, 2_400, 12_000)
PROMPT: Final = tuple(PromptPart(part_id=part, tokens=10) for part in ("first", "second", "own"))
NOW: Final = 100.0


def build_guard(ledger: QuarantineLedger) -> CrashGuard:
    """Return the guard of an instance that has read its rows."""
    return CrashGuard(
        ledger=ledger,
        losses=PendingLosses(),
        rows=mock.Mock(wait_first_read=_return_at_once),
        answered_parts=AnsweredParts(),
        fleet_state=mock.Mock(),
        loads=mock.Mock(),
        connector=mock.Mock(),
        limits=mock.Mock(),
        log=DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY)),
        counters=Counters(),
        wake=lambda: None,
        publish=lambda: None,
        read_time=lambda: NOW,
    )


async def _return_at_once() -> None:
    return


def record_ends(ledger: QuarantineLedger) -> None:
    """Record ends with many lost requests."""
    for number in range(ENDS):
        names = [f"{number:x}{one:031x}" for one in range(LOST_AT_EACH)]
        names += [name_part(f"{number}.{one}") for one in range(LOST_AT_EACH)]
        lost = frozenset(LostAttribute(attribute=name, organisation=None) for name in names)
        incarnation = EndpointIncarnation(endpoint_id=f"e{number}", started_ms=None)
        end = EndpointEnd(incarnation=incarnation, ended_at=NOW - number, lost=lost)
        ledger.record_end(end, now=NOW)


async def measure(guard: CrashGuard, request: CallerRequest) -> float:
    """Return the microseconds that one request costs."""
    record = build_endpoint("e")
    response = RelayedResponse(status=200, began_at=NOW, framed=True)
    admitted = Admitted(catalog=build_catalog(), route=build_route(), organisation=None)
    progress = begin_progress(
        request,
        admitted,
        service="portal",
        shortest_objective_s=0.3,
        profile=PROFILE,
        most_urgent=True,
    )
    started_at = time.process_time()
    for _ in range(REQUESTS):
        progress.attributes = None
        await guard.admit(request, progress)
        guard.find_denial(request, progress)
        guard.record_response(request, progress, record, response)
    return (time.process_time() - started_at) / REQUESTS * 1e6


async def main() -> None:
    """Print the table."""
    rows = []
    for size in BODY_BYTES:
        request = build_request(prompt_parts=PROMPT, body=b"x" * size)
        ledger = QuarantineLedger(domain="a", window_s=3.0)
        guard = build_guard(ledger)
        quiet_us = await measure(guard, request)
        record_ends(ledger)
        rows.append([size, f"{quiet_us:.1f}", f"{await measure(guard, request):.1f}"])
    print(format_table(["BODY BYTES", "QUIET US", "SUSPECTED US"], rows))


if __name__ == "__main__":
    asyncio.run(main())

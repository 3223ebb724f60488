"""An instance whose heartbeats fail by an unexpected error, a moment after they have begun."""

from __future__ import annotations

import asyncio
import runpy

from guavamast.relay.heartbeat_exchange import HeartbeatExchange

FAILS_AFTER_S = 0.5
_run = HeartbeatExchange.run
_started: list[HeartbeatExchange] = []


async def fail_once(exchange: HeartbeatExchange) -> None:
    """Run the heartbeats; the first run fails."""
    _started.append(exchange)
    if len(_started) > 1:
        await _run(exchange)
    await asyncio.sleep(FAILS_AFTER_S)
    raise RuntimeError("a fault of the program")


if __name__ == "__main__":
    HeartbeatExchange.run = fail_once  # type: ignore[method-assign]
    runpy.run_module("guavamast.platform", run_name="__main__")

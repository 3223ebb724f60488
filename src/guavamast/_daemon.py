"""Sockets, signal handling and the event loop of both daemons."""

from __future__ import annotations

import asyncio
import itertools
import signal
import socket
import sys
from typing import TYPE_CHECKING

from guavamast.log import get_logger, set_up_logs
from guavamast.stop_signals import block_late_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.caller_connection import ConnectionTrace
    from guavamast.settings import InstanceSettings


def bind_socket(address: str) -> socket.socket:
    """Return a listening socket.

    Args:
        address: ``ip:port``; the OS chooses the port for 0.
    """
    host, port = address.rsplit(":", 1)
    sock = socket.create_server((host, int(port)), backlog=1024)
    sock.setblocking(False)
    return sock


def get_bound_address(sock: socket.socket) -> str:
    """Return the ``ip:port`` that a socket listens on."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def log_connection(event: str, trace: ConnectionTrace, *, now: float) -> None:
    """Log what happened on a caller's connection that a server closed too early.

    Args:
        event: What the server did.
        trace: What happened on the connection before.
        now: The time on the trace's clock.
    """
    get_logger().warning(
        "%s: caller=%s stage=%s age_s=%.3f silent_s=%.3f received_bytes=%d head_received=%s"
        " response_begun=%s responses=%d",
        event,
        trace.address,
        trace.stage,
        now - trace.accepted_at,
        now - trace.active_at,
        trace.received_bytes,
        trace.head_received,
        trace.response_begun,
        trace.responses,
    )


async def wait_for_first(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waiters = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for waiter in waiters:
            waiter.cancel()


def run_daemon(
    settings: InstanceSettings,
    serve: Callable[[InstanceSettings, asyncio.Event], Awaitable[None]],
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then leave.

    After a second signal the daemon waits for nothing in flight, and a third one ends it at once.

    Raises:
        SystemExit: With code 1 after more than one signal.
    """
    set_up_logs(level=settings.log_level, style=settings.log_format)
    asyncio.run(_run(settings, serve))


async def _run(
    settings: InstanceSettings,
    serve: Callable[[InstanceSettings, asyncio.Event], Awaitable[None]],
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    serving = asyncio.ensure_future(serve(settings, stop))
    signals = itertools.count(1)

    def handle_signal() -> None:
        match next(signals):
            case 1:
                stop.set()
            case 2:
                # The daemon still closes: callers of requests in flight get a last response.
                get_logger().warning("received a second signal; giving up requests in flight")
                serving.cancel()
            case _:
                get_logger().warning("received another signal; exiting immediately")
                sys.stderr.flush()
                raise SystemExit(1)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    try:
        await serving
    except asyncio.CancelledError:
        raise SystemExit(1) from None
    finally:
        block_late_signals()

"""What both daemons share: sockets, signals and the loop."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from typing import TYPE_CHECKING

from guavamast.log import get_logger, set_up_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

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


async def wait_for_first(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


def run_daemon(
    settings: InstanceSettings,
    serve: Callable[[InstanceSettings, asyncio.Event], Awaitable[None]],
) -> None:
    """Run a daemon until SIGTERM or SIGINT and let it leave; a second signal ends it at once."""
    set_up_logs(level=settings.log_level, style=settings.log_format)
    asyncio.run(_run(settings, serve))


async def _run(
    settings: InstanceSettings,
    serve: Callable[[InstanceSettings, asyncio.Event], Awaitable[None]],
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def handle() -> None:
        if stop.is_set():
            get_logger().warning("a second signal: ending at once")
            sys.stderr.flush()
            raise SystemExit(1)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)
    await serve(settings, stop)

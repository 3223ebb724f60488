"""What both daemons share: sockets, signals and the loop."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from typing import TYPE_CHECKING, Final

from tornado.iostream import IOStream

from guavamast.log import get_logger, set_up_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httpserver import HTTPServer

    from guavamast.settings import InstanceSettings

LAST_ANSWERS_S: Final = 0.3
"""Time for the answers to callers that were accepted last: a refusal takes some milliseconds, on a
busy machine some tens."""


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


async def stop_listening(server: HTTPServer, sock: socket.socket) -> None:
    """Stop a server that is leaving, after it has answered the callers that wait to be accepted.

    Failure: a caller connects and sends its request while the loop is busy, and the listener is
    closed before the loop accepts the connection; the system resets it, and the caller doesn't
    know whether its request ran. What waits is accepted right before the close, and is answered as
    any request to a leaving instance: refused as not run.

    Args:
        server: The server.
        sock: Its listening socket.
    """
    waiting = False
    while sock.fileno() >= 0:
        try:
            connection, address = sock.accept()
        except BlockingIOError:
            break
        except OSError as error:
            get_logger().warning("a caller left before it was accepted: %s", error)
            continue
        waiting = True
        connection.setblocking(False)
        server.handle_stream(IOStream(connection), address)
    server.stop()
    if waiting:
        await asyncio.sleep(LAST_ANSWERS_S)


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

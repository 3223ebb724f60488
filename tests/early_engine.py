"""An engine in trouble: it answers while a request is being sent to it, and ends the connection."""

from __future__ import annotations

import re
import socket
import socketserver
import threading
import time
from enum import StrEnum
from typing import Final

from guavamast.socket_options import set_reset_on_close

READ_BYTES: Final = 16_384
RECEIVE_BUFFER_BYTES: Final = 32_768
MAX_READ_BYTES: Final = 1_048_576
"""Bytes of one read: more than can wait unread, so nothing is left in the moment after it."""
LINGER_S: Final = 0.3
"""Seconds from the end of the engine's data until it closes the connection."""
SEAL: Final = "seal-early"


class EarlyEnd(StrEnum):
    """How the engine ends the connection."""

    SHUTDOWN = "shutdown"
    """It ends its data in order, and closes the connection a moment later, the rest unread."""
    CLOSE = "close"
    """It closes the connection in a moment in which it has read all that has arrived."""
    RESET = "reset"


class EarlyEngine:
    """Answers each request after its first bytes with a part of an answer without a length.

    It runs on threads, as the moment in which nothing is unread passes unseen by an event loop.

    Args:
        status: The status as it is sent, which need not be one of HTTP.
        body: The part that is sent.
        end: How the connection ends.
        content_type: Type of the body.
        delay_s: Seconds from the first bytes of a request until its answer.
    """

    def __init__(
        self,
        *,
        status: str = "200",
        body: bytes = b"a part",
        end: EarlyEnd = EarlyEnd.CLOSE,
        content_type: str = "text/plain",
        delay_s: float = 0.0,
    ) -> None:
        self.status = status
        self.body = body
        self.end = end
        self.content_type = content_type
        self.delay_s = delay_s
        self.runs: list[str] = []
        """Ids of the requests."""
        self.received_whole: set[str] = set()
        """Ids of the requests of which it had read everything by its end, by mistake."""
        engine = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                engine.serve(self.request)

        self._server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        # Accepted connections inherit it: no more than this waits unread.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.port: int = self._server.server_address[1]

    def start(self) -> None:
        """Accept connections."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection."""
        data = b""
        while b"\r\n\r\n" not in data:
            received = connection.recv(READ_BYTES)
            if not received:
                return
            data += received
        name = re.search(rb"(?im)^x-attempt-id: (\S+)", data)
        request_id = name[1].decode() if name is not None else ""
        if request_id:
            self.runs.append(request_id)
        time.sleep(self.delay_s)
        head = (
            f"HTTP/1.1 {self.status} Answer\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Engine-Seal: {SEAL}\r\nContent-Type: {self.content_type}\r\n"
            "Connection: close\r\n\r\n"
        )
        connection.sendall(head.encode() + self.body)
        received = len(data) - data.index(b"\r\n\r\n") - 4 + self._end(connection)
        if received >= _read_length(data):
            self.received_whole.add(request_id)

    def _end(self, connection: socket.socket) -> int:
        """End the connection; return the bytes that were read before."""
        received = 0
        if self.end is EarlyEnd.RESET:
            set_reset_on_close(connection, enabled=True)
        elif self.end is EarlyEnd.SHUTDOWN:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(LINGER_S)
        else:
            received = len(connection.recv(MAX_READ_BYTES))
        connection.close()
        return received


def _read_length(head: bytes) -> int:
    length = re.search(rb"(?im)^content-length: (\d+)", head)
    return int(length[1]) if length is not None else 0

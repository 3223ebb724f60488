"""Names of response headers that no code reads, each told once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.messages import EndpointResponseHead, HeaderCodec

MAX_LINES: Final = 32
"""Lines that one process writes at most: an endpoint that invents names must not fill the log."""
MAX_TEXT_BYTES: Final = 60
"""Bytes of a name or a value in a line, about."""


class UnreadHeaders:
    """Logs the names of the headers that endpoints send and no code reads.

    Failure: endpoints state a new limit, every instance ignores it, and no log line shows that it
    was stated at all.

    Args:
        codec: Knows the headers that are read.
        log: Decision log.
    """

    __slots__ = ("_codec", "_log", "_names")

    def __init__(self, *, codec: HeaderCodec, log: DecisionLog) -> None:
        self._codec = codec
        self._log = log
        self._names: set[str] = set()

    def record(self, head: EndpointResponseHead, *, endpoint_id: str, now: float) -> None:
        """Record the headers of a response.

        Args:
            head: Its head.
            endpoint_id: The endpoint that sent it.
            now: Current time.
        """
        for name, value in head.headers:
            if name in self._names or self._codec.reads_response_header(name):
                continue
            if len(self._names) >= MAX_LINES:
                return
            self._names.add(name)
            self._log.write(
                "unread_header",
                now=now,
                header=name[:MAX_TEXT_BYTES],
                value=value[:MAX_TEXT_BYTES],
                endpoint=endpoint_id,
            )

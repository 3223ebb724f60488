"""Log lines and metrics of what an instance's listeners reject, fail or close too early."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.connection_log import log_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.caller_connection import ConnectionTrace
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog


class ListenerRecorder:
    """Records the events of listeners.

    Args:
        log: Receives the log lines.
        counters: Receives the metrics.
        read_time: Reads the local clock.
    """

    __slots__ = ("_counters", "_log", "_read_time")

    def __init__(
        self, *, log: DecisionLog, counters: Counters, read_time: Callable[[], float]
    ) -> None:
        self._log = log
        self._counters = counters
        self._read_time = read_time

    def record_rejection(self, status: int, *, reason: str = "over a limit") -> None:
        """Record a request that exceeds a limit, or for which there is no memory."""
        self._counters.add(f'refusals_total{{status="{status}"}}')
        self._log.write("rejected", now=self._read_time(), status=status, reason=reason)

    def record_fault(self, request_id: str, error: Exception) -> None:
        """Record an unexpected error raised while a request was relayed."""
        self._counters.add("faults_total")
        self._log.write(
            "fault",
            now=self._read_time(),
            request_id=request_id,
            error=f"{type(error).__name__}: {error}",
        )

    def record_unanswered(self, trace: ConnectionTrace) -> None:
        """Record a connection that was closed before a byte of a response."""
        self._counters.add("unanswered_connections_total")
        log_connection(self._log, "unanswered", trace, now=self._read_time())

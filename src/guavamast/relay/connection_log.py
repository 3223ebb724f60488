"""Log lines of callers' connections that an instance closes too early."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.caller_connection import ConnectionTrace
    from guavamast.relay.decision_log import DecisionLog, LogValue


def log_connection(
    log: DecisionLog, event: str, trace: ConnectionTrace, *, now: float, **fields: LogValue
) -> None:
    """Log what happened on a connection.

    Args:
        log: Receives the line.
        event: What the instance did.
        trace: What happened on the connection before.
        now: The time on the trace's clock.
        fields: Further fields of the line.
    """
    log.write(
        event,
        now=now,
        essential=trace.request_complete,
        caller=trace.address,
        request_id=trace.request_id,
        stage=trace.stage,
        age_s=round(now - trace.accepted_at, 3),
        silent_s=round(now - trace.active_at, 3),
        received_bytes=trace.received_bytes,
        head_received=trace.head_received,
        response_begun=trace.response_begun,
        responses=trace.responses,
        **fields,
    )

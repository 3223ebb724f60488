"""Log lines and metrics of streams that callers take up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.stream_binding.directory import OWN_MEMORY, SAVED

if TYPE_CHECKING:
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.stream_binding.decision import TakeUp


class TakeUpRecorder:
    """Records whether streams that callers take up may go on, and whence this is known.

    Args:
        log: Receives the log lines.
        counters: Receives the metrics.
    """

    __slots__ = ("_counters", "_log")

    def __init__(self, *, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters

    def record(self, request: CallerRequest, take_up: TakeUp, *, took_s: float, now: float) -> None:
        """Record the decision on a stream.

        Args:
            request: The caller's request that takes it up.
            take_up: The decision.
            took_s: Seconds that it took.
            now: The present time.
        """
        lookup = take_up.lookup
        stream = lookup.stream
        binding = take_up.binding
        own = str(lookup.source == OWN_MEMORY).lower()
        saved = str(lookup.source == SAVED).lower()
        self._counters.add(
            f'take_ups_total{{outcome="{take_up.outcome}",own_memory="{own}",saved="{saved}"}}'
        )
        self._log.write(
            "taken_up",
            now=now,
            request_id=request.request_id,
            resumed_request=request.resumed_request_id,
            caller_event_id=request.last_event_id,
            outcome=str(take_up.outcome),
            bound_service=binding.service if binding is not None else None,
            bound_version=binding.software_version if binding is not None else None,
            bound_by=stream.instance if stream is not None else None,
            bound_s=round(now - stream.bound_at, 3) if stream is not None else None,
            source=lookup.source,
            asked=lookup.asked,
            silent=lookup.silent,
            store_answered=lookup.store_answered,
            took_s=round(took_s, 4),
        )

"""What an instance learns from each event of one send of a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast.relay.attempt_timeouts import STREAM_IDLE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placed_send import PlacedSend
    from guavamast.relay.quarantine import RunWatch
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.silence_timeout import SilenceTimeout
    from guavamast.relay.stream_sampler import StreamSampler


class StreamObserver:
    """Records the events of one send before they are forwarded.

    Args:
        request: The caller's request.
        progress: Its state; the last event's id is recorded there.
        send: Its placement and its part of the endpoint's load.
        sampler: Samples the engine's speed.
        watch: Watches how long the answer goes on.
        loads: Work at endpoints.
        recorder: Log lines and metrics of requests.
        begin: Called before the first event of the request's stream.
        idle_timeout: Timeout of the attempt; each event extends it if it is set.
        publish_decrease: Called with the endpoint's id when its load has decreased.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_begin",
        "_idle_timeout",
        "_loads",
        "_progress",
        "_publish_decrease",
        "_read_time",
        "_recorder",
        "_request",
        "_sampler",
        "_send",
        "_watch",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        progress: RequestProgress,
        send: PlacedSend,
        sampler: StreamSampler,
        watch: RunWatch,
        loads: EndpointLoads,
        recorder: RequestRecorder,
        begin: Callable[[], None],
        idle_timeout: SilenceTimeout,
        publish_decrease: Callable[[str], None],
        read_time: Callable[[], float],
    ) -> None:
        self._request = request
        self._progress = progress
        self._send = send
        self._sampler = sampler
        self._watch = watch
        self._loads = loads
        self._recorder = recorder
        self._begin = begin
        self._idle_timeout = idle_timeout
        self._publish_decrease = publish_decrease
        self._read_time = read_time

    def record_event(self, event_id: str | None) -> None:
        """Record an event, by its id if it has one."""
        now = self._read_time()
        endpoint_id = self._send.choice.record.endpoint_id
        if self._send.finish_prefill():
            self._publish_decrease(endpoint_id)
        uncached_tokens = self._loads.sum_up(endpoint_id).prefill_tokens
        self._watch.record_event(now=now)
        first = self._progress.timing.first_event_s is None
        self._sampler.record_event(uncached_tokens=uncached_tokens, now=now)
        if first:
            self._begin()
            self._recorder.record_first_event(self._request, self._send.choice, now=now)
        self._progress.last_event_id = event_id or self._progress.last_event_id
        self._extend_timeout()

    def _extend_timeout(self) -> None:
        if self._idle_timeout.when() is None:
            return
        now = asyncio.get_running_loop().time()
        self._idle_timeout.reschedule(now + STREAM_IDLE_TIMEOUT_S)

"""Decides whether a caller's request that takes a stream up may go on, and at what."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.catalog import RouteKind
from guavamast.relay.stream_binding.decision import TakeUp, TakeUpOutcome
from guavamast.relay.stream_binding.directory import Lookup
from guavamast.relay.stream_binding.records import compute_stream_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.stream_binding.directory import BindingDirectory
    from guavamast.relay.stream_binding.recorder import TakeUpRecorder
    from guavamast.relay.stream_binding.records import StreamBinding

LIFETIME_TIMEOUTS: Final = 4.0
"""Factor on its route's timeout: a stream may be taken up for as long as three more attempts of its
caller may last."""


class StreamTakeUps:
    """Binds streams to what began them, and finds it again when callers take them up.

    Args:
        directory: Remembers bound streams.
        recorder: Log lines and metrics.
        read_time: Reads the local clock.
    """

    __slots__ = ("_directory", "_read_time", "_recorder")

    def __init__(
        self,
        *,
        directory: BindingDirectory,
        recorder: TakeUpRecorder,
        read_time: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._recorder = recorder
        self._read_time = read_time

    def bind(self, request: CallerRequest, admitted: Admitted, binding: StreamBinding) -> None:
        """Remember what began the stream of a request, before its first event goes out."""
        key = _compute_key(admitted, request.request_id)
        lifetime_s = LIFETIME_TIMEOUTS * admitted.route.timeout_s
        self._directory.bind(key, binding, lifetime_s=lifetime_s)

    async def decide(self, request: CallerRequest, admitted: Admitted) -> TakeUp | None:
        """Return the decision on a request that takes a stream up; None for any other request."""
        if admitted.route.kind is not RouteKind.STREAM or not _continues_stream(request):
            return None
        started_at = self._read_time()
        take_up = await self._look_up(request, admitted)
        now = self._read_time()
        self._recorder.record(request, take_up, took_s=now - started_at, now=now)
        return take_up

    async def _look_up(self, request: CallerRequest, admitted: Admitted) -> TakeUp:
        nothing = Lookup(stream=None)
        if not admitted.route.resumable:
            return TakeUp(outcome=TakeUpOutcome.NOT_RESUMABLE, lookup=nothing)
        if not request.resumed_request_id:
            return TakeUp(outcome=TakeUpOutcome.UNNAMED, lookup=nothing)
        key = _compute_key(admitted, request.resumed_request_id)
        lookup = await self._directory.find(key)
        if lookup.stream is None:
            return TakeUp(outcome=TakeUpOutcome.UNKNOWN, lookup=lookup)
        binding = lookup.stream.binding
        if binding is None:
            return TakeUp(outcome=TakeUpOutcome.AMBIGUOUS, lookup=lookup)
        if not admitted.route.leads_to(binding.service):
            return TakeUp(outcome=TakeUpOutcome.MOVED, lookup=lookup)
        return TakeUp(outcome=TakeUpOutcome.KNOWN, lookup=lookup, binding=binding)


def _continues_stream(request: CallerRequest) -> bool:
    return request.resumed_request_id is not None or request.last_event_id is not None


def _compute_key(admitted: Admitted, request_id: str) -> str:
    organisation = admitted.organisation.name if admitted.organisation is not None else None
    return compute_stream_key(organisation, request_id)

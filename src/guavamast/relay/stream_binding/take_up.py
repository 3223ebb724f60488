"""Decides whether a caller's request that takes a stream up may go on, and at what."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.catalog import RouteKind
from guavamast.relay.stream_binding.decision import TakeUp, TakeUpOutcome
from guavamast.relay.stream_binding.directory import Lookup
from guavamast.relay.stream_binding.records import (
    StreamBinding,
    UnconfirmedSource,
    compute_stream_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.stream_binding.directory import BindingDirectory
    from guavamast.relay.stream_binding.recorder import TakeUpRecorder
    from guavamast.relay.stream_binding.records import StreamSource
    from guavamast.relay.stream_binding.versions import SoftwareVersions

LIFETIME_TIMEOUTS: Final = 4.0
"""Factor on its route's timeout: a stream may be taken up for as long as three more attempts of its
caller may last."""

BIND_WAITS_S: Final = (0.1, 0.2, 0.3, 0.6, 1.2)
"""Seconds between the looks for news of the table after a stream's first event."""


class StreamTakeUps:
    """Binds streams to what began them, and finds it again when callers take them up.

    Args:
        directory: Remembers bound streams.
        versions: Software of the endpoints.
        recorder: Log lines and metrics.
        read_time: Reads the local clock.
    """

    __slots__ = ("_directory", "_read_time", "_recorder", "_versions")

    def __init__(
        self,
        *,
        directory: BindingDirectory,
        versions: SoftwareVersions,
        recorder: TakeUpRecorder,
        read_time: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._versions = versions
        self._recorder = recorder
        self._read_time = read_time

    def bind(self, request: CallerRequest, admitted: Admitted, binding: StreamBinding) -> None:
        """Remember what began the stream of a request, before its first event goes out."""
        key = _compute_key(admitted, request.request_id)
        self._directory.bind(key, binding, lifetime_s=_compute_lifetime(admitted))

    def bind_unconfirmed(
        self,
        request: CallerRequest,
        admitted: Admitted,
        source: StreamSource,
        on_known: Callable[[StreamBinding], None],
    ) -> None:
        """Remember where a stream began, and what that is once the table is late enough to tell.

        Args:
            request: The request.
            admitted: Its admission.
            source: The endpoint of the stream's first event, and its connection.
            on_known: Called with the binding once it is known, if it becomes so in time.
        """
        record = source.record
        if record.software_version is None or self._versions.has_changed(record):
            return
        key = _compute_key(admitted, request.request_id)
        lifetime_s = _compute_lifetime(admitted)
        self._directory.bind(
            key,
            StreamBinding(service=record.service, software_version=record.software_version),
            lifetime_s=lifetime_s,
            unconfirmed=UnconfirmedSource(
                endpoint_id=record.endpoint_id,
                started_ms=record.started_ms,
                established_at=source.established_at,
            ),
        )

        def bind(binding: StreamBinding) -> None:
            on_known(binding)
            self._directory.bind(key, binding, lifetime_s=lifetime_s)

        self._call_once_known(source, bind, BIND_WAITS_S)

    def _call_once_known(
        self,
        source: StreamSource,
        on_known: Callable[[StreamBinding], None],
        waits_s: tuple[float, ...],
    ) -> None:
        binding = self._versions.identify(source, now=self._read_time())
        if binding is not None:
            on_known(binding)
        elif waits_s:
            loop = asyncio.get_running_loop()
            loop.call_later(waits_s[0], self._call_once_known, source, on_known, waits_s[1:])

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
        source = lookup.stream.unconfirmed
        if source is not None and not await self._versions.confirm_later(binding, source):
            return TakeUp(outcome=TakeUpOutcome.UNCONFIRMED, lookup=lookup)
        if not admitted.route.leads_to(binding.service):
            return TakeUp(outcome=TakeUpOutcome.MOVED, lookup=lookup)
        return TakeUp(outcome=TakeUpOutcome.KNOWN, lookup=lookup, binding=binding)


def _compute_lifetime(admitted: Admitted) -> float:
    return LIFETIME_TIMEOUTS * admitted.route.timeout_s


def _continues_stream(request: CallerRequest) -> bool:
    return request.resumed_request_id is not None or request.last_event_id is not None


def _compute_key(admitted: Admitted, request_id: str) -> str:
    organisation = admitted.organisation.name if admitted.organisation is not None else None
    return compute_stream_key(organisation, request_id)

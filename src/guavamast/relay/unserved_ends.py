"""Ends of requests that get no response, or no further one, from an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.unserved_cause import UnservedCause

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_gate import Denied
    from guavamast.relay.messages import CallerRequest, HeaderCodec, ResponseWriter
    from guavamast.relay.placer import PlacementDecision, Placer
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder

RETRY_AFTER_REJECTION_S: Final = 0.1
"""Seconds until a caller retries after a rejection for lack of capacity: about when a slot becomes
free."""
RETRY_AFTER_UNREACHABLE_S: Final = 0.3
"""Seconds until a caller retries when no endpoint could be reached."""


class UnservedEnds:
    """Tells callers that their requests are rejected or have failed.

    A request that may have run is never called rejected.

    Args:
        codec: Encodes headers.
        recorder: Log lines and metrics of requests.
        placer: Told of requests that found no room.
        read_time: Reads the local clock.
    """

    __slots__ = ("_codec", "_placer", "_read_time", "_recorder")

    def __init__(
        self,
        *,
        codec: HeaderCodec,
        recorder: RequestRecorder,
        placer: Placer,
        read_time: Callable[[], float],
    ) -> None:
        self._codec = codec
        self._recorder = recorder
        self._placer = placer
        self._read_time = read_time

    async def refuse(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        denied: Denied,
    ) -> None:
        """End a request that is no longer allowed."""
        if progress.possible_runs or writer.started:
            reason = denied.reason
            await self.finish_failed(request, writer, progress, status=502, reason=reason)
        else:
            await self.reject(request, writer, denied)

    async def reject(self, request: CallerRequest, writer: ResponseWriter, denied: Denied) -> None:
        """Reject a request that was sent to no endpoint."""
        headers = self._codec.encode_rejection(request.request_id, denied.retry_after_s)
        await writer.send(denied.status, headers, b"")
        self._recorder.record_rejection(request, denied, now=self._read_time())

    async def reject_for_capacity(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        placed: PlacementDecision,
    ) -> None:
        """End a request for which no endpoint has room in time."""
        assert placed.rejection is not None and placed.choice is not None
        if progress.possible_runs:
            await self.finish_failed(request, writer, progress, status=502, reason="no slot")
            return
        headers = self._codec.encode_rejection(request.request_id, placed.rejection.retry_after_s)
        await writer.send(503, headers, b"")
        self._recorder.record_capacity_rejection(
            request,
            placed.rejection,
            placed.choice,
            scheduled=placed.scheduler_reply,
            progress=progress,
            now=self._read_time(),
        )

    async def finish_failed(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        *,
        status: int,
        reason: str,
        cause: UnservedCause = UnservedCause.FAILED,
    ) -> None:
        """End a request that gets no more attempts, with an endpoint's error response if any."""
        now = self._read_time()
        if writer.started:
            writer.abort()
            self._recorder.record_end(
                request,
                progress,
                cause=cause if cause is UnservedCause.INSTANCE_LEFT else UnservedCause.BROKEN_OFF,
                outcome="broken_off",
                reason=reason,
                now=now,
            )
            return
        if cause.lacks_room and request.prompt_tokens:
            self._placer.record_unserved(progress)
        if progress.error_response is not None:
            response = progress.error_response
            await writer.send(response.head.status, list(response.head.headers), response.body)
            status = response.head.status
        else:
            retry_after_s = None
            if progress.possible_runs == 0:
                status = 503
                retry_after_s = (
                    RETRY_AFTER_REJECTION_S if progress.sends else RETRY_AFTER_UNREACHABLE_S
                )
            headers = self._codec.encode_rejection(request.request_id, retry_after_s)
            await writer.send(status, headers, b"")
        self._recorder.record_end(
            request,
            progress,
            cause=cause,
            outcome="failed",
            status=status,
            reason=reason,
            now=now,
        )

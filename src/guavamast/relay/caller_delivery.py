"""Delivers to callers what endpoints have sent, and counts what is held until they have it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast.relay.buffering import SlowReader
from guavamast.relay.stream_delivery import StreamDelivery

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.attempt import CompleteResponse
    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.messages import CallerRequest, ResponseWriter
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder


class CallerDelivery:
    """Writes responses to callers, who may be slower than the endpoints.

    Args:
        memory: Memory that this instance holds for others.
        readers: Callers that are written to; the slowest are cut off while memory is short.
        recorder: Log lines and metrics of requests.
        read_time: Reads the local clock.
    """

    __slots__ = ("_memory", "_read_time", "_readers", "_recorder")

    def __init__(
        self,
        *,
        memory: MemoryAccount,
        readers: SlowReaders,
        recorder: RequestRecorder,
        read_time: Callable[[], float],
    ) -> None:
        self._memory = memory
        self._readers = readers
        self._recorder = recorder
        self._read_time = read_time

    def open_stream(
        self, request: CallerRequest, writer: ResponseWriter, progress: RequestProgress
    ) -> StreamDelivery:
        """Return the delivery of a request's events, which goes on across its attempts."""
        if progress.delivery is None:
            task = asyncio.current_task()
            assert task is not None

            def on_cut(reader: SlowReader) -> None:
                progress.cut_off = True
                self._record_cut(request, progress, reader)
                task.cancel()

            progress.delivery = StreamDelivery(
                writer=writer,
                account=self._memory,
                readers=self._readers,
                on_cut=on_cut,
                read_time=self._read_time,
            )
        return progress.delivery

    async def finish_stream(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Return when the caller has a stream that was read to its end; at once without one.

        A response that was read is delivered, even if late, so the request's time doesn't end this.
        """
        stream, delivery = progress.read_stream, progress.delivery
        if stream is None or delivery is None:
            return
        await delivery.flush()
        await delivery.writer.end()
        self._recorder.record_response(
            request, progress, stream.record, status=200, end=stream.end, now=self._read_time()
        )

    async def send(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        response: CompleteResponse,
    ) -> None:
        """Send a whole response; its body counts until the caller's connection has taken it."""
        head = response.head
        try:
            await writer.send(head.status, list(head.headers), response.body)
        finally:
            self._hold_body(request, writer, progress, response)

    def _hold_body(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        response: CompleteResponse,
    ) -> None:
        def cut_off() -> None:
            self._record_cut(request, progress, reader)
            response.held.release()
            writer.abort()

        def release() -> None:
            self._readers.close(reader)
            response.held.release()

        reader = SlowReader(cut_off=cut_off)
        reader.held_bytes = len(response.body)
        reader.unsent_since = self._read_time()
        self._readers.open(reader)
        writer.call_when_sent(release)

    def _record_cut(
        self, request: CallerRequest, progress: RequestProgress, reader: SlowReader
    ) -> None:
        now = self._read_time()
        self._recorder.record_reader_cut(
            request,
            service=progress.service,
            held_bytes=reader.held_bytes,
            unsent_s=now - reader.unsent_since,
            now=now,
        )

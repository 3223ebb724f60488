"""Keeps each stream at the software that began it, over its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.attempt import Attempt
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.stream_binding import SoftwareVersions, StreamSource, StreamTakeUps


class StreamSoftware:
    """Binds streams to the software that begins them, and confirms it at further endpoints.

    Args:
        versions: Software of the endpoints.
        take_ups: Told what begins each stream that can be resumed.
        read_time: Reads the local clock.
    """

    __slots__ = ("_read_time", "_take_ups", "_versions")

    def __init__(
        self,
        *,
        versions: SoftwareVersions,
        take_ups: StreamTakeUps,
        read_time: Callable[[], float],
    ) -> None:
        self._versions = versions
        self._take_ups = take_ups
        self._read_time = read_time

    async def confirm(self, progress: RequestProgress, attempt: Attempt) -> None:
        """Raise unless an endpoint is known to run what began the request's stream.

        Args:
            progress: Progress of the request.
            attempt: Its attempt, connected to the endpoint.

        Raises:
            AttemptFailed: With ``OUTDATED`` if it runs something else, or ``UNCONFIRMED``.
        """
        if progress.binding is None:
            return
        confirmed = await self._versions.confirm(attempt.source)
        if confirmed == progress.binding:
            return
        if confirmed is not None or self._versions.has_changed(attempt.record):
            raise AttemptFailed(FailureKind.OUTDATED, "the endpoint runs other software")
        raise AttemptFailed(FailureKind.UNCONFIRMED, "the endpoint's software isn't known")

    def bind(self, request: CallerRequest, progress: RequestProgress, source: StreamSource) -> None:
        """Bind a stream before its first event goes out, or as soon as what began it is known."""
        admitted = progress.admitted
        if not admitted.route.resumable:
            return
        if progress.binding is None:
            progress.source = source
            progress.binding = self._versions.identify(source, now=self._read_time())
        if progress.binding is not None:
            self._take_ups.bind(request, admitted, progress.binding)
        else:
            self._take_ups.bind_unconfirmed(request, admitted, source, progress.record_binding)

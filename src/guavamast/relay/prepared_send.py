"""Sends that are prepared up to the moment in which their bytes go out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt import Attempt
from guavamast.relay.placed_send import PlacedSend

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.buffering import MemoryAccount
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_statements import EndpointStatements
    from guavamast.relay.messages import CallerRequest, EndpointResponseHead, HeaderCodec
    from guavamast.relay.placer import PlacementDecision
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.send_check import SendCheck
    from guavamast.relay.stream_software import StreamSoftware
    from guavamast.relay.work_accounting import WorkAccounting


class PreparedSend:
    """An attempt at a chosen endpoint, counted as work there, of which no byte was sent yet.

    Args:
        attempt: The attempt.
        send: Its placement and its part of the endpoint's load.
        accounting: Told of the end of the work.
    """

    __slots__ = ("_accounting", "attempt", "checked", "send")

    def __init__(self, *, attempt: Attempt, send: PlacedSend, accounting: WorkAccounting) -> None:
        self.attempt = attempt
        self.send = send
        self.checked = False
        """Whether it is connected, has passed all checks and goes out in any case."""
        self._accounting = accounting

    def end(
        self,
        *,
        rejected: bool = False,
        failure_weight: float = 0.0,
        longest_pause_s: float = 0.0,
        mean_pause_ms: float = 0.0,
    ) -> None:
        """Close the connection unless it is kept, and count the work no longer.

        Args:
            rejected: Whether the endpoint rejected the request.
            failure_weight: Weight of its failure in the endpoint's failure score; 0 without one.
            longest_pause_s: Longest pause between events of its stream, in seconds.
            mean_pause_ms: Mean pause between them; 0 if too few have come.
        """
        self.attempt.abandon()
        self.send.end(
            rejected=rejected,
            failure_weight=failure_weight,
            longest_pause_s=longest_pause_s,
            mean_pause_ms=mean_pause_ms,
        )
        self._accounting.publish_decrease(self.attempt.record.endpoint_id)


class SendPreparer:
    """Prepares sends: connects to the endpoints that placements have chosen, and checks.

    Args:
        accounting: Counts each send as work at its endpoint.
        check: Checks each request right before it is sent.
        codec: Encodes and decodes headers.
        connector: Finds connections to endpoints.
        memory: Memory that this instance holds for others.
        reachability: Signs of life of the endpoints.
        recorder: Log lines and metrics of requests.
        software: Confirms what endpoints run.
        statements: Told what endpoints state about themselves.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_accounting",
        "_check",
        "_codec",
        "_connector",
        "_memory",
        "_reachability",
        "_read_time",
        "_recorder",
        "_software",
        "_statements",
    )

    def __init__(
        self,
        *,
        accounting: WorkAccounting,
        check: SendCheck,
        codec: HeaderCodec,
        connector: EndpointConnector,
        memory: MemoryAccount,
        reachability: ReachabilityMonitor,
        recorder: RequestRecorder,
        software: StreamSoftware,
        statements: EndpointStatements,
        read_time: Callable[[], float],
    ) -> None:
        self._accounting = accounting
        self._check = check
        self._codec = codec
        self._connector = connector
        self._memory = memory
        self._reachability = reachability
        self._recorder = recorder
        self._software = software
        self._statements = statements
        self._read_time = read_time

    def begin(
        self, request: CallerRequest, progress: RequestProgress, placed: PlacementDecision
    ) -> PreparedSend:
        """Return a send to the selected endpoint, counted as work there from now on."""
        assert placed.choice is not None
        record = placed.choice.record
        attempt = Attempt(
            request=request,
            record=record,
            codec=self._codec,
            connector=self._connector,
            reachability=self._reachability,
            memory=self._memory,
            on_head=self._record_statements,
            read_time=self._read_time,
        )
        progress.tried.add(record.endpoint_id)
        work = self._accounting.begin(request, progress, placed.choice)
        send = PlacedSend(placed=placed, work=work)
        return PreparedSend(attempt=attempt, send=send, accounting=self._accounting)

    async def complete(
        self, request: CallerRequest, progress: RequestProgress, prepared: PreparedSend
    ) -> None:
        """Connect to the endpoint, confirm what it runs, and check that the request may go there.

        Raises:
            AttemptFailed: The request must not be sent, or there is no connection.
        """
        attempt, send = prepared.attempt, prepared.send
        await attempt.connect(
            row_version=progress.admitted.catalog.row_version,
            binding=progress.binding,
            permitted=send.is_permitted(now=self._read_time()),
        )
        self._recorder.record_connection(attempt.connection)
        await self._software.confirm(progress, attempt)
        self._check.check(request, progress, attempt.record, send, now=self._read_time())
        prepared.checked = True

    def _record_statements(self, attempt: Attempt, head: EndpointResponseHead) -> None:
        self._statements.record(
            attempt.record, head, request_id=attempt.request_id, sent_at=attempt.sent_at
        )

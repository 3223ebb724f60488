"""Client of the schedulers: queries them for endpoints and reports the progress of requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_groups import find_service
from guavamast.relay.rate_limits import PERMIT_VALID_S
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    PlacementReply,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.requester import Requester
    from guavamast.relay.scheduler_directory import SchedulerDirectory
    from guavamast.relay.scheduler_host import SchedulerHost
    from guavamast.relay.scheduling_messages import PlacementQuery
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store import InstanceRecord

REPORT_INTERVAL_S: Final = 1.0
"""Seconds between two reports of an instance's work to its schedulers."""
ENDED_WORK_RETENTION_S: Final = 10.0
"""Seconds for which ended work is reported to a new scheduler: the parts of its prompt may still be
in the engine's KV cache."""
GRANT_VALID_S: Final = 1.0
"""Seconds after which a grant expires: if this process stalled, the scheduler may have dropped the
grant since."""
INITIAL_ROUND_TRIP_S: Final = 0.01
"""Seconds assumed between a query and its reply until the first reply arrives."""
ROUND_TRIP_WEIGHT: Final = 0.1
"""Share of the latest round trip in the moving average."""
TIMEOUT_GROWTH: Final = 1.2
"""Factor on the mean round trip after a timeout: the reply may have been slow rather than lost."""
TIMEOUT_ROUND_TRIPS: Final = 4.0
"""Factor on the mean round trip that gives the timeout of a query."""
MIN_TIMEOUT_S: Final = 0.02
"""Seconds of the shortest timeout: one iteration of a busy event loop."""
MAX_TIMEOUT_S: Final = 0.06
"""Seconds of the longest timeout, which is below any objective."""
PATIENT_TIMEOUT_S: Final = 0.25
"""Seconds of the timeout where two schedulers at a time do harm."""


@dataclass(slots=True, kw_only=True)
class _TrackedWork:
    """Work that this instance has placed, kept for reports."""

    group: str
    work: PlacedWork
    granted: bool
    """Whether a scheduler granted it."""
    ended_at: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledReply:
    """A scheduler's reply, and the time it took."""

    reply: PlacementReply
    scheduler: str
    """Name of the instance that replied."""
    took_s: float


class PlacedRequest:
    """One request as its scheduler counts it, from the grant to its end.

    Args:
        client: Reports to the scheduler.
        number: Number of the query.
        granted_at: Local time of the grant; None if its instance placed it by itself.
        permitted: Whether the grant is a permit under its endpoint's rate limit.
    """

    __slots__ = ("_begun", "_client", "_ended", "_granted_at", "_number", "_permitted")

    def __init__(
        self,
        *,
        client: SchedulingClient,
        number: int,
        granted_at: float | None,
        permitted: bool = False,
    ) -> None:
        self._client = client
        self._permitted = permitted
        self._number = number
        self._granted_at = granted_at
        self._begun = False
        self._ended = False

    def is_expired(self, *, now: float) -> bool:
        """Return whether the grant is too old to send the request."""
        return self._granted_at is not None and now - self._granted_at > GRANT_VALID_S

    def is_permitted(self, *, now: float) -> bool:
        """Return whether it may still be sent to an endpoint that states a rate limit."""
        if self._granted_at is None or not self._permitted:
            return False
        return now - self._granted_at <= PERMIT_VALID_S

    def begin(self) -> None:
        """Report that the first event has arrived; repeated calls have no effect."""
        if not self._begun:
            self._begun = True
            self._client.report_phase(self._number, WorkPhase.RUNNING)

    def end(
        self,
        *,
        rejected: bool = False,
        failure_weight: float = 0.0,
        longest_pause_s: float = 0.0,
        mean_pause_ms: float = 0.0,
    ) -> None:
        """Report that the request has ended; repeated calls have no effect.

        Args:
            rejected: Whether its endpoint had no room for it.
            failure_weight: How strongly its end counts as a failure of the endpoint.
            longest_pause_s: Longest time between two events of its stream.
            mean_pause_ms: Mean time between two of them; 0 if too few have come.
        """
        if self._ended:
            return
        self._ended = True
        self._client.report_phase(
            self._number,
            WorkPhase.REJECTED if rejected else WorkPhase.ENDED,
            failure_weight=failure_weight,
            longest_pause_s=longest_pause_s,
            mean_pause_ms=mean_pause_ms,
        )


class SchedulingClient:
    """Queries schedulers and reports this instance's work to them.

    Args:
        requester: Identity of this process.
        record: This instance.
        directory: Selects schedulers.
        host: Groups that this instance schedules itself.
        send: Sends a message to an instance.
        is_scheduled: Returns whether the requests to a service are placed by schedulers; others are
            tracked for schedulers that may be asked later.
        on_new_scheduler: Called with a group and the scheduler that it is queried from now on.
        counters: Metrics.
        read_time: Local clock.
    """

    __slots__ = (
        "_requester",
        "_counters",
        "directory",
        "_host",
        "_is_scheduled",
        "_reported_to",
        "_last_number",
        "_on_new_scheduler",
        "_read_time",
        "_record",
        "_round_trip_s",
        "_send",
        "_tracked",
        "_pending",
    )

    def __init__(
        self,
        *,
        requester: Requester,
        record: InstanceRecord,
        directory: SchedulerDirectory,
        host: SchedulerHost,
        send: Callable[[SchedulingMessage, InstanceRecord], None],
        is_scheduled: Callable[[str], bool],
        on_new_scheduler: Callable[[str, InstanceRecord], None] | None = None,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._requester = requester
        self._record = record
        self.directory = directory
        """Selects schedulers."""
        self._host = host
        self._send = send
        self._is_scheduled = is_scheduled
        self._on_new_scheduler = on_new_scheduler
        self._counters = counters
        self._read_time = read_time
        self._last_number = 0
        self._round_trip_s = INITIAL_ROUND_TRIP_S
        self._pending: dict[int, asyncio.Future[PlacementReply]] = {}
        self._tracked: dict[int, _TrackedWork] = {}
        self._reported_to: dict[str, str] = {}
        """Name of the scheduler that this instance's work was reported to, by group."""

    @property
    def requester(self) -> Requester:
        """Identity of this process in messages to schedulers."""
        return self._requester

    def next_number(self) -> int:
        """Return the number for the next request to place."""
        self._last_number += 1
        return self._last_number

    async def request_placement(
        self, query: PlacementQuery, *, patient: bool = False
    ) -> ScheduledReply | None:
        """Return the scheduler's reply; None if it times out.

        Args:
            query: The request.
            patient: Whether to wait longer for it, as a second scheduler at the same time would
                grant the same slots again.

        After a timeout or a cancellation the request is reported as ended, so that a grant still in
        transit does not keep its capacity reserved.
        """
        now = self._read_time()
        scheduler = self.directory.select(query.group, now=now)
        self._report_to_new_scheduler(query.group, scheduler)
        if scheduler.name == self._record.name:
            reply = self._host.decide(query, now=now)
            return ScheduledReply(reply=reply, scheduler=scheduler.name, took_s=0.0)
        waiter: asyncio.Future[PlacementReply] = asyncio.get_running_loop().create_future()
        self._pending[query.number] = waiter
        self._send(query, scheduler)
        timeout_s = PATIENT_TIMEOUT_S if patient else self._compute_timeout()
        timer = asyncio.get_running_loop().call_later(timeout_s, _time_out, waiter)
        try:
            reply = await waiter
        except TimeoutError:
            self._record_timeout(scheduler)
            self._withdraw(query, scheduler)
            return None
        except asyncio.CancelledError:
            self._withdraw(query, scheduler)
            raise
        finally:
            timer.cancel()
            del self._pending[query.number]
        took_s = self._read_time() - now
        self._record_reply(scheduler, took_s=took_s)
        return ScheduledReply(reply=reply, scheduler=scheduler.name, took_s=took_s)

    def receive_reply(self, reply: PlacementReply) -> None:
        """Pass a reply to the query that awaits it; a late reply is only counted.

        Failure: numbers begin anew with each process. A scheduler that was paused while this
        instance restarted replies to the former process, and a request of another service, or one
        that the endpoint has no room for, goes where the former one was to go.
        """
        is_own = reply.requester == self._requester
        waiter = self._pending.get(reply.number) if is_own else None
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)
        else:
            self._counters.add("late_replies_total")

    def withdraw(self, query: PlacementQuery) -> None:
        """Release an unused grant."""
        self._withdraw(query, self.directory.select(query.group, now=self._read_time()))

    def track(
        self, group: str, work: PlacedWork, *, granted: bool, permitted: bool = False
    ) -> PlacedRequest:
        """Track a request that is sent to an endpoint, and return the handle for its progress.

        Args:
            group: Group of the endpoint.
            work: Work of the request.
            granted: Whether the scheduler granted it; if not, it is reported at once, if the
                service is scheduled.
            permitted: Whether it also permitted it under the endpoint's rate limit.
        """
        now = self._read_time()
        self._tracked[work.number] = _TrackedWork(group=group, work=work, granted=granted)
        if not granted and self._is_group_scheduled(group):
            self._send_to_scheduler(group, self._build_report(group))
        granted_at = now if granted else None
        return PlacedRequest(
            client=self, number=work.number, granted_at=granted_at, permitted=permitted
        )

    def sum_ungranted(self, endpoint_id: str) -> int:
        """Return the KV cache tokens of this instance's work at an endpoint without a grant."""
        return sum(
            one.work.kv_tokens
            for one in self._tracked.values()
            if not one.granted and one.ended_at is None and one.work.endpoint_id == endpoint_id
        )

    def report_phase(
        self,
        number: int,
        phase: WorkPhase,
        *,
        failure_weight: float = 0.0,
        longest_pause_s: float = 0.0,
        mean_pause_ms: float = 0.0,
    ) -> None:
        """Report the progress of a request to the scheduler.

        Args:
            number: Number of the request.
            phase: Phase that it has reached.
            failure_weight: How strongly its end counts as a failure of the endpoint.
            longest_pause_s: Longest time between two events of its stream.
            mean_pause_ms: Mean time between two of them; 0 if too few have come.
        """
        tracked = self._tracked.get(number)
        if tracked is None or tracked.work.phase is phase:
            return
        work = tracked.work
        tracked.work = replace(work, phase=phase)
        if phase.over:
            tracked.ended_at = self._read_time()
        update = WorkUpdate(
            requester=self._requester,
            group=tracked.group,
            number=number,
            phase=phase,
            failure_weight=failure_weight,
            longest_pause_s=longest_pause_s,
            mean_pause_ms=mean_pause_ms,
        )
        if self._is_group_scheduled(tracked.group):
            self._send_to_scheduler(tracked.group, update)

    async def run(self) -> None:
        """Report this instance's work to its schedulers until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report to each scheduler all work that this instance has at its group."""
        now = self._read_time()
        self._expire_ended(now=now)
        groups = {one.group for one in self._tracked.values() if one.ended_at is None}
        for group in groups:
            if not self._is_group_scheduled(group):
                # Its scheduler will know nothing of it when the service is scheduled again.
                self._reported_to.pop(group, None)
                continue
            scheduler = self.directory.select(group, now=now)
            if not self._report_to_new_scheduler(group, scheduler):
                self._send_to_scheduler(group, self._build_report(group))

    def _report_to_new_scheduler(self, group: str, scheduler: InstanceRecord) -> bool:
        """Report all work to a scheduler that is new for a group; return whether it is new."""
        if self._reported_to.get(group) == scheduler.name:
            return False
        self._reported_to[group] = scheduler.name
        if self._on_new_scheduler is not None and scheduler.name != self._record.name:
            self._on_new_scheduler(group, scheduler)
        self._expire_ended(now=self._read_time())
        report = self._build_report(group, with_ended=True)
        if report.works:
            self._deliver(report, scheduler)
        return True

    def _is_group_scheduled(self, group: str) -> bool:
        return self._is_scheduled(find_service(group))

    def _build_report(self, group: str, *, with_ended: bool = False) -> WorkReport:
        works = tuple(
            one.work
            for one in self._tracked.values()
            if one.group == group and (with_ended or one.ended_at is None)
        )
        return WorkReport(requester=self._requester, group=group, works=works)

    def _expire_ended(self, *, now: float) -> None:
        self._tracked = {
            number: one
            for number, one in self._tracked.items()
            if one.ended_at is None or now - one.ended_at < ENDED_WORK_RETENTION_S
        }

    def _send_to_scheduler(self, group: str, message: WorkUpdate | WorkReport) -> None:
        self._deliver(message, self.directory.select(group, now=self._read_time()))

    def _deliver(self, message: WorkUpdate | WorkReport, scheduler: InstanceRecord) -> None:
        if scheduler.name != self._record.name:
            self._send(message, scheduler)
        elif isinstance(message, WorkUpdate):
            self._host.apply_update(message, now=self._read_time())
        else:
            self._host.apply_report(message, now=self._read_time())

    def _withdraw(self, query: PlacementQuery, scheduler: InstanceRecord) -> None:
        update = WorkUpdate(
            requester=self._requester, group=query.group, number=query.number, phase=WorkPhase.ENDED
        )
        self._deliver(update, scheduler)

    def _compute_timeout(self) -> float:
        timeout_s = TIMEOUT_ROUND_TRIPS * self._round_trip_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))

    def _record_reply(self, scheduler: InstanceRecord, *, took_s: float) -> None:
        self.directory.record_reply(scheduler.name)
        self._round_trip_s += ROUND_TRIP_WEIGHT * (took_s - self._round_trip_s)
        self._counters.observe("placement_seconds", took_s)

    def _record_timeout(self, scheduler: InstanceRecord) -> None:
        self._counters.add("silent_schedulers_total")
        self._round_trip_s = min(MAX_TIMEOUT_S, TIMEOUT_GROWTH * self._round_trip_s)
        if self.directory.record_timeout(scheduler.name, now=self._read_time()):
            self._counters.add("schedulers_passed_over_total")


def _time_out(waiter: asyncio.Future[PlacementReply]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())

"""Asks the schedulers of endpoints where requests go, and tells them how their work goes on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.scheduling_messages import (
    Asker,
    PlacedWork,
    PlacementReply,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.scheduler_directory import SchedulerDirectory
    from guavamast.relay.scheduler_host import SchedulerHost
    from guavamast.relay.scheduling_messages import PlacementQuery
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store import InstanceRecord

REPORT_INTERVAL_S: Final = 1.0
"""Seconds between two reports of an instance's work to the schedulers of it."""
REMEMBERED_S: Final = 10.0
"""Seconds for which ended work is told to a new scheduler: its prompt's parts may still be in its
engine's memory."""
GRANT_VALID_S: Final = 1.0
"""Seconds after which a grant is void: its scheduler may have dropped it since, when this process
stood still."""
FIRST_ROUND_TRIP_S: Final = 0.01
"""Seconds between a query and its reply before any has been seen."""
ROUND_TRIP_WEIGHT: Final = 0.1
"""Share that the latest round trip has in the mean."""
SILENCE_FACTOR: Final = 1.2
"""Factor on the mean round trip after a reply that did not come: it may have been too slow."""
PATIENCE_ROUND_TRIPS: Final = 4.0
"""Factor on the mean round trip for which a reply is waited for."""
LEAST_PATIENCE_S: Final = 0.02
"""Seconds for which a reply is waited for at the least: a turn of a busy process."""
MOST_PATIENCE_S: Final = 0.06
"""Seconds for which it is waited for at the most, below any objective."""


@dataclass(slots=True, kw_only=True)
class _Tracked:
    """Work that this instance has placed, for reports."""

    group: str
    work: PlacedWork
    ended: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledReply:
    """A scheduler's reply, and what it cost."""

    reply: PlacementReply
    scheduler: str
    """Name of the instance."""
    took_s: float


class PlacedRequest:
    """One request as its scheduler counts it, from the grant to its end.

    Args:
        client: Tells the scheduler.
        number: Of the query.
        granted: Local time.
    """

    __slots__ = ("_begun", "_client", "_ended", "_granted", "_number")

    def __init__(self, *, client: SchedulingClient, number: int, granted: float) -> None:
        self._client = client
        self._number = number
        self._granted = granted
        self._begun = False
        self._ended = False

    def is_void(self, *, now: float) -> bool:
        """Return whether the grant is too old for a send."""
        return now - self._granted > GRANT_VALID_S

    def begin(self) -> None:
        """Tell that the first event has come; a second call changes nothing."""
        if not self._begun:
            self._begun = True
            self._client.note_phase(self._number, WorkPhase.RUNNING)

    def end(self, *, failure_weight: float = 0.0, longest_pause_s: float = 0.0) -> None:
        """Tell that the request is over; a second call changes nothing.

        Args:
            failure_weight: How much its end says against the endpoint.
            longest_pause_s: Between two events of its stream.
        """
        if self._ended:
            return
        self._ended = True
        self._client.note_phase(
            self._number,
            WorkPhase.ENDED,
            failure_weight=failure_weight,
            longest_pause_s=longest_pause_s,
        )


class SchedulingClient:
    """Asks schedulers and keeps them informed.

    Args:
        asker: This process.
        record: This instance.
        directory: Finds schedulers.
        host: The groups that this instance schedules itself.
        send: Sends a message to an instance.
        counters: Metrics.
        read_time: The local clock.
    """

    __slots__ = (
        "_asker",
        "_counters",
        "directory",
        "_host",
        "_informed",
        "_number",
        "_read_time",
        "_record",
        "_round_trip_s",
        "_send",
        "_tracked",
        "_waiting",
    )

    def __init__(
        self,
        *,
        asker: Asker,
        record: InstanceRecord,
        directory: SchedulerDirectory,
        host: SchedulerHost,
        send: Callable[[SchedulingMessage, InstanceRecord], None],
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._asker = asker
        self._record = record
        self.directory = directory
        """Finds schedulers."""
        self._host = host
        self._send = send
        self._counters = counters
        self._read_time = read_time
        self._number = 0
        self._round_trip_s = FIRST_ROUND_TRIP_S
        self._waiting: dict[int, asyncio.Future[PlacementReply]] = {}
        self._tracked: dict[int, _Tracked] = {}
        self._informed: dict[str, str] = {}
        """Name of the scheduler that knows this instance's work, by group."""

    @property
    def asker(self) -> Asker:
        """How this process names itself to schedulers."""
        return self._asker

    def take_number(self) -> int:
        """Return the number of the next request to be placed."""
        self._number += 1
        return self._number

    async def ask(self, query: PlacementQuery) -> ScheduledReply | None:
        """Return the scheduler's reply; None if it does not come in time.

        A request that is given up meanwhile is told to the scheduler as ended, so that a grant that
        is on its way holds nothing.
        """
        now = self._read_time()
        scheduler = self.directory.find(query.group, now=now)
        self._inform(query.group, scheduler)
        if scheduler.name == self._record.name:
            reply = self._host.decide(query, now=now)
            return ScheduledReply(reply=reply, scheduler=scheduler.name, took_s=0.0)
        waiter: asyncio.Future[PlacementReply] = asyncio.get_running_loop().create_future()
        self._waiting[query.number] = waiter
        self._send(query, scheduler)
        patience_s = self._compute_patience()
        timer = asyncio.get_running_loop().call_later(patience_s, _give_up, waiter)
        try:
            reply = await waiter
        except TimeoutError:
            self._note_silence(scheduler)
            self._withdraw(query, scheduler)
            return None
        except asyncio.CancelledError:
            self._withdraw(query, scheduler)
            raise
        finally:
            timer.cancel()
            del self._waiting[query.number]
        took_s = self._read_time() - now
        self._note_reply(scheduler, took_s=took_s)
        return ScheduledReply(reply=reply, scheduler=scheduler.name, took_s=took_s)

    def take_reply(self, reply: PlacementReply) -> None:
        """Hand a reply to whoever waits for it; a late one finds nobody."""
        waiter = self._waiting.get(reply.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)
        else:
            self._counters.add("late_replies_total")

    def withdraw(self, query: PlacementQuery) -> None:
        """Give a grant back unused."""
        self._withdraw(query, self.directory.find(query.group, now=self._read_time()))

    def track(self, group: str, work: PlacedWork, *, asked: bool) -> PlacedRequest:
        """Count a request that goes to an endpoint, and return what its end is told to.

        Args:
            group: The endpoint's group.
            work: The request's work.
            asked: Whether the scheduler has granted it; if not, it is told at once.
        """
        now = self._read_time()
        self._tracked[work.number] = _Tracked(group=group, work=work)
        if not asked:
            self._tell(group, self._make_report(group))
        return PlacedRequest(client=self, number=work.number, granted=now)

    def note_phase(
        self,
        number: int,
        phase: WorkPhase,
        *,
        failure_weight: float = 0.0,
        longest_pause_s: float = 0.0,
    ) -> None:
        """Tell the scheduler that work has come further.

        Args:
            number: Of the request.
            phase: How far it has come.
            failure_weight: How much its end says against its endpoint.
            longest_pause_s: Between two events of its stream.
        """
        tracked = self._tracked.get(number)
        if tracked is None or tracked.work.phase is phase:
            return
        work = tracked.work
        tracked.work = PlacedWork(
            number=work.number,
            endpoint_id=work.endpoint_id,
            phase=phase,
            shared_part=work.shared_part,
            unread_tokens=work.unread_tokens,
            memory_tokens=work.memory_tokens,
            delicate=work.delicate,
        )
        if phase is WorkPhase.ENDED:
            tracked.ended = self._read_time()
        update = WorkUpdate(
            asker=self._asker,
            group=tracked.group,
            number=number,
            phase=phase,
            failure_weight=failure_weight,
            longest_pause_s=longest_pause_s,
        )
        self._tell(tracked.group, update)

    async def run(self) -> None:
        """Report this instance's work to its schedulers until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Tell each scheduler all work that this instance has at its group."""
        now = self._read_time()
        self._forget_ended(now=now)
        groups = {one.group for one in self._tracked.values() if one.ended is None}
        for group in groups:
            scheduler = self.directory.find(group, now=now)
            if not self._inform(group, scheduler):
                self._tell(group, self._make_report(group))

    def _inform(self, group: str, scheduler: InstanceRecord) -> bool:
        """Tell a scheduler that has not scheduled the group so far what it has to know."""
        if self._informed.get(group) == scheduler.name:
            return False
        self._informed[group] = scheduler.name
        self._forget_ended(now=self._read_time())
        report = self._make_report(group, with_ended=True)
        if report.works:
            self._deliver(report, scheduler)
        return True

    def _make_report(self, group: str, *, with_ended: bool = False) -> WorkReport:
        works = tuple(
            one.work
            for one in self._tracked.values()
            if one.group == group and (with_ended or one.ended is None)
        )
        return WorkReport(asker=self._asker, group=group, works=works)

    def _forget_ended(self, *, now: float) -> None:
        self._tracked = {
            number: one
            for number, one in self._tracked.items()
            if one.ended is None or now - one.ended < REMEMBERED_S
        }

    def _tell(self, group: str, message: WorkUpdate | WorkReport) -> None:
        self._deliver(message, self.directory.find(group, now=self._read_time()))

    def _deliver(self, message: WorkUpdate | WorkReport, scheduler: InstanceRecord) -> None:
        if scheduler.name != self._record.name:
            self._send(message, scheduler)
        elif isinstance(message, WorkUpdate):
            self._host.take_update(message, now=self._read_time())
        else:
            self._host.take_report(message, now=self._read_time())

    def _withdraw(self, query: PlacementQuery, scheduler: InstanceRecord) -> None:
        update = WorkUpdate(
            asker=self._asker, group=query.group, number=query.number, phase=WorkPhase.ENDED
        )
        self._deliver(update, scheduler)

    def _compute_patience(self) -> float:
        patience_s = PATIENCE_ROUND_TRIPS * self._round_trip_s
        return min(MOST_PATIENCE_S, max(LEAST_PATIENCE_S, patience_s))

    def _note_reply(self, scheduler: InstanceRecord, *, took_s: float) -> None:
        self.directory.note_answer(scheduler.name)
        self._round_trip_s += ROUND_TRIP_WEIGHT * (took_s - self._round_trip_s)
        self._counters.observe("placement_seconds", took_s)

    def _note_silence(self, scheduler: InstanceRecord) -> None:
        self._counters.add("silent_schedulers_total")
        self._round_trip_s = min(MOST_PATIENCE_S, SILENCE_FACTOR * self._round_trip_s)
        if self.directory.note_silence(scheduler.name, now=self._read_time()):
            self._counters.add("schedulers_passed_over_total")


def _give_up(waiter: asyncio.Future[PlacementReply]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())

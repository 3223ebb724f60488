"""The keeper of one endpoint: who gets its slots, who waits and who is refused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode
from guavamast.slots import Granted, Probe, Queued, Refused
from guavamast.world import EndpointState

if TYPE_CHECKING:
    from guavamast.slots import Ask, KeeperEvent, LoadReport, Release
    from guavamast.world import Configuration, Endpoint

ORPHAN_GRACE_S: Final = 10.0
"""Seconds for which a grant outlives the stream of its entry."""
OVERRUN_S: Final = 30.0
"""Seconds after its deadline at which a grant without a release is given up."""
REPORT_BOUND_S: Final = 5.0
"""Age in seconds from which a load report counts as none."""
DEFAULT_QUEUE_LIMIT: Final = 100
"""Waiting asks of a class that the configuration does not name."""
SERVICE_TIME_S: Final = 1.0
"""Expected seconds of a run before any release was seen."""


@dataclass(slots=True, kw_only=True)
class Grant:
    """A slot that is held."""

    ask: Ask
    granted_at: float
    expires_at: float
    tokens: int = 0


class EndpointKeeper:
    """Decides on the slots and the queue of one endpoint.

    Args:
        endpoint: The endpoint as configured.
        configuration: The configuration in force.
        now: Present time in seconds.
        cautious_until: Time until which other holders may not have presented their slots yet.
    """

    __slots__ = (
        "_cautious_until",
        "_configuration",
        "_endpoint",
        "_grants",
        "_report",
        "_service_s",
        "_waiting",
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        configuration: Configuration,
        now: float,  # noqa: ARG002
        cautious_until: float = 0.0,
    ) -> None:
        self._endpoint = endpoint
        self._configuration = configuration
        self._cautious_until = cautious_until
        self._grants: dict[str, Grant] = {}
        self._waiting: dict[str, Ask] = {}
        self._report: LoadReport | None = None
        self._service_s = SERVICE_TIME_S

    def ask(self, ask: Ask, *, now: float) -> list[KeeperEvent]:
        """Grant, queue or refuse one ask; a repeated ask gets its present state again."""
        if ask.ask_id in self._grants:
            return [Granted(ask=self._grants[ask.ask_id].ask)]
        if ask.ask_id in self._waiting:
            return [Queued(ask=ask, estimated_wait_s=self._estimate_wait(ask))]
        if self._endpoint.state is EndpointState.LEAVING:
            return [self._refuse(ask, ErrorCode.LEAVING)]
        if ask.deadline <= now:
            return [self._refuse(ask, ErrorCode.DEADLINE_EXCEEDED)]
        events = self._make_room(ask)
        if any(event.ask is ask for event in events):
            return events
        self._waiting[ask.ask_id] = ask
        events += self._start_waiting(now)
        if ask.ask_id in self._waiting:
            events.append(Queued(ask=ask, estimated_wait_s=self._estimate_wait(ask)))
        return events

    def release(self, release: Release, *, now: float) -> list[KeeperEvent]:
        """End a grant; an unknown one changes nothing."""
        if self._grants.pop(release.ask_id, None) is None:
            return self.withdraw(release.ask_id, now=now)
        if release.used and release.duration_s > 0:
            self._service_s += 0.1 * (release.duration_s - self._service_s)
        return self._start_waiting(now)

    def withdraw(self, ask_id: str, *, now: float) -> list[KeeperEvent]:
        """Forget an ask whose entry will not use a grant of it, also when one is on its way."""
        self._waiting.pop(ask_id, None)
        self._grants.pop(ask_id, None)
        return self._start_waiting(now)

    def present(self, ask: Ask, *, held_s: float, tokens: int, now: float) -> list[KeeperEvent]:
        """Record a slot that an entry already holds, even above the endpoint's slots."""
        self._waiting.pop(ask.ask_id, None)
        self._grants[ask.ask_id] = Grant(
            ask=ask,
            granted_at=now - held_s,
            expires_at=max(ask.deadline, now) + OVERRUN_S,
            tokens=tokens,
        )
        return []

    def record_progress(self, ask_id: str, tokens: int, *, now: float) -> None:  # noqa: ARG002
        """Record how many tokens a running request has delivered."""
        grant = self._grants.get(ask_id)
        if grant is not None:
            grant.tokens = max(grant.tokens, tokens)

    def record_load(self, report: LoadReport, *, now: float) -> list[KeeperEvent]:
        """Record the endpoint's word on its load; an older one than the last is dropped."""
        if self._report is None or report.as_of >= self._report.as_of:
            self._report = report
        return self._start_waiting(now)

    def drop_entry(self, entry: str, *, now: float) -> list[KeeperEvent]:
        """Forget the asks of an entry whose stream ended and put a term to its grants."""
        for ask in [ask for ask in self._waiting.values() if ask.entry == entry]:
            del self._waiting[ask.ask_id]
        for grant in self._grants.values():
            if grant.ask.entry == entry:
                grant.expires_at = min(grant.expires_at, now + ORPHAN_GRACE_S)
        return []

    def configure(
        self, *, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> list[KeeperEvent]:
        """Take on a new configuration; a leaving endpoint refuses all that wait."""
        self._endpoint = endpoint
        self._configuration = configuration
        if endpoint.state is not EndpointState.LEAVING:
            return self._start_waiting(now)
        asks = list(self._waiting.values())
        self._waiting.clear()
        return [self._refuse(ask, ErrorCode.LEAVING) for ask in asks]

    def tick(self, *, now: float) -> list[KeeperEvent]:
        """Act on what has become due: deadlines, expiries and the end of the cautious start."""
        for grant in [grant for grant in self._grants.values() if grant.expires_at <= now]:
            del self._grants[grant.ask.ask_id]
        late = [ask for ask in self._waiting.values() if ask.deadline <= now]
        for ask in late:
            del self._waiting[ask.ask_id]
        events: list[KeeperEvent] = [self._refuse(ask, ErrorCode.DEADLINE_EXCEEDED) for ask in late]
        return events + self._start_waiting(now)

    def next_wakeup(self) -> float | None:
        """Return the time at which `tick` has something to do; None when nothing is due."""
        times = [grant.expires_at for grant in self._grants.values()]
        times += [ask.deadline for ask in self._waiting.values()]
        if self._waiting and self._cautious_until:
            times.append(self._cautious_until)
        return min(times, default=None)

    def make_probe(self, *, now: float) -> Probe:  # noqa: ARG002
        """Return what the choice among candidates needs to know of this endpoint."""
        asks = [grant.ask for grant in self._grants.values()] + list(self._waiting.values())
        return Probe(
            endpoint=self._endpoint.name,
            in_flight=len(self._grants),
            queued=len(self._waiting),
            estimated_wait_s=self._wait_for(len(self._waiting)),
            lowest_tier=max((ask.tier for ask in asks), default=0),
            slots=self._endpoint.slots,
        )

    def _make_room(self, ask: Ask) -> list[KeeperEvent]:
        service_class = self._configuration.classes.get(ask.class_name)
        limit = service_class.queue_limit if service_class else DEFAULT_QUEUE_LIMIT
        same = [other for other in self._waiting.values() if other.class_name == ask.class_name]
        if len(same) >= limit and self._count_free(0.0) <= 0:
            return [self._refuse(ask, ErrorCode.QUEUE_FULL)]
        return []

    def _count_free(self, now: float) -> int:
        held = len(self._grants)
        if now < self._cautious_until:
            if self._report is None or now - self._report.as_of > REPORT_BOUND_S:
                return 0
            since = self._report.as_of
            recent = sum(1 for grant in self._grants.values() if grant.granted_at > since)
            held = max(held, self._report.running + recent)
        return self._endpoint.slots - held

    def _start_waiting(self, now: float) -> list[KeeperEvent]:
        if now >= self._cautious_until:
            self._cautious_until = 0.0
        events: list[KeeperEvent] = []
        while self._waiting and self._count_free(now) > 0:
            ask = min(self._waiting.values(), key=lambda waiting: waiting.tier)
            del self._waiting[ask.ask_id]
            expires_at = ask.deadline + OVERRUN_S
            self._grants[ask.ask_id] = Grant(ask=ask, granted_at=now, expires_at=expires_at)
            events.append(Granted(ask=ask))
        return events

    def _estimate_wait(self, ask: Ask) -> float:
        return self._wait_for(
            sum(1 for other in self._waiting.values() if other.tier <= ask.tier) - 1
        )

    def _wait_for(self, ahead: int) -> float:
        if len(self._grants) < self._endpoint.slots:
            return 0.0
        return (ahead + 1) * self._service_s / max(1, self._endpoint.slots)

    def _refuse(self, ask: Ask, code: ErrorCode) -> Refused:
        return Refused(ask=ask, code=code, retry_after_s=self._wait_for(len(self._waiting)))

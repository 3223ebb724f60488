"""Run of a fleet whose instances are stopped in overlapping rolls while callers go on."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform.standins.prefill_batch import PrefillBatch
from guavamast.platform.standins.site import MODELS, Site
from soak.callers import fetch_addresses
from soak.departures import DepartureRecord, Outcome, classify, describe, find_run_ends
from soak.guarantees import NOT_RUN_STATUSES
from soak.roll_callers import RollCaller, RollRequest
from soak.roll_instance import GRACE_S, RollInstance
from soak.roll_workload import PREFILL_TOKENS_PER_S, ROUTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.platform.standins.engine import EngineStandIn
    from soak.guarantees import RequestRecord
    from soak.roll_workload import Work

MODEL_ENGINES: Final = 9
PORTAL_ENGINES: Final = 4
SLOTS: Final = 64
CALLERS: Final = 92
"""Callers that send the requests of the workload together."""
STOP_MARGIN_S: Final = 0.6
"""Seconds before the end of the grace time at which a stream has to be over for its instance to
end in time."""
CALM_S: Final = 4.0
"""Seconds before the first signal, in which instances learn how long responses take."""
SMALLEST_ROLL: Final = 3
LARGEST_ROLL: Final = 4
LONGEST_GAP_S: Final = 1.3
"""Seconds between two signals of a roll, at most."""
CHANGE_INTERVAL_S: Final = 2.0
"""Seconds between two configurations, and between two signals to reload."""
BURST_FACTOR: Final = 2.0
BURST_S: Final = 5.0
MAX_SLOWNESS: Final = 4.0
"""Factor on the steps of busy engines, at most."""
REPEATABLE_KINDS: Final = ("reply", "status")
"""Kinds of requests that may run more than once."""
START_TIMEOUT_S: Final = 40.0
RESTART_PAUSE_S: Final = 0.3
STOPPED_AGAIN_SHARE: Final = 0.3
"""Share of the replaced instances that are stopped again while they start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RollSize:
    """Size of a run."""

    instances: int
    callers: int
    """Callers, each of which sends as many requests as in a whole fleet."""
    rolls: int
    length_s: float
    """Seconds for which callers send."""


WHOLE: Final = RollSize(instances=14, callers=CALLERS, rolls=4, length_s=20.0)
"""The whole deployment."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RollVerdict:
    """Result of one run."""

    seed: int
    outcomes: Counter[Outcome]
    taken_and_cut: int
    """Requests that a leaving instance took and cut, among the excused ones."""
    needless: int
    """Requests that a leaving instance rejected, and that would have ended before it did."""
    wrong_runs: int
    """Requests that ran though they were rejected, or more often than they may."""
    longest_signal_delay_s: float
    """Longest time from a signal until its instance logged that it leaves."""
    lost: list[str]
    """Lines on the lost requests, with what their instances logged of them."""
    failures: list[str]
    """Instances that were killed, or exited otherwise than asked for."""


class RollRun:
    """Stops instances in rolls, twice each, while callers send requests of five kinds.

    Rolls overlap, stopped instances start again at their addresses, some are stopped while they
    start, and configurations and signals to reload come between.

    Args:
        seed: Seed of the schedule, the load and the callers.
        directory: Directory for settings and logs.
        size: How many instances, callers and rolls there are, and for how long.
        source: Directory with the version of the product that instances run; the present one if
            empty.
    """

    def __init__(
        self, *, seed: int, directory: str, size: RollSize = WHOLE, source: str = ""
    ) -> None:
        self._seed = seed
        self._size = size
        self._random = Random(f"{seed}roll")
        self._directory = directory
        self._source = source
        self._slowness = self._random.uniform(1.0, MAX_SLOWNESS)
        self._durations: dict[str, float] = {}
        self._timeouts: dict[str, float] = {}
        self._site = _RollSite(durations=self._durations)
        self._instances: list[RollInstance] = []
        self._callers: list[RollCaller] = []
        self._tries: list[RollRequest] = []

    async def run(self) -> RollVerdict:
        """Start the fleet, send requests while it rolls, and judge."""
        await self._site.start(pool=0, portal=PORTAL_ENGINES)
        await self._site.start_models()
        try:
            await self._start_instances()
            until = time.monotonic() + self._size.length_s
            async with asyncio.TaskGroup() as tasks:
                for caller in self._build_callers():
                    tasks.create_task(caller.run(until))
                tasks.create_task(self._roll())
                tasks.create_task(self._burst())
                tasks.create_task(self._change(until))
        finally:
            await asyncio.gather(*(one.terminate() for one in self._instances))
            await self._site.stop()
        return self._judge()

    async def _start_instances(self) -> None:
        for number in range(self._size.instances):
            settings = self._site.build_settings(f"one-{number}")
            one = RollInstance(settings=settings, directory=self._directory, source=self._source)
            self._instances.append(one)
        await asyncio.gather(*(one.start() for one in self._instances))
        addresses = {one.address for one in self._instances}
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._are_listed(addresses):
                await asyncio.sleep(0.2)

    async def _are_listed(self, addresses: set[str]) -> bool:
        """Return whether each instance serves, by what the first one tells callers."""
        try:
            fields = await fetch_addresses(self._instances[0].settings["listen"]["directory"])
        except Exception:  # noqa: BLE001  # It has not started yet.
            return False
        listed = fields.get("addresses")
        return isinstance(listed, list) and len(listed) >= min(4, len(addresses))

    def _build_callers(self) -> list[RollCaller]:
        self._callers = [
            RollCaller(
                name=f"c{number}",
                share=1 / CALLERS,
                directories=[one.settings["listen"]["directory"] for one in self._instances],
                on_work=self._record_work,
                tries=self._tries,
                random=Random(f"{self._seed}caller{number}"),
            )
            for number in range(self._size.callers)
        ]
        return self._callers

    def _record_work(self, request_id: str, work: Work) -> None:
        """Tell the engines how long the response to a request takes."""
        self._durations[request_id] = work.compute_duration(self._slowness)
        self._timeouts[request_id] = work.kind.timeout_s

    async def _roll(self) -> None:
        await asyncio.sleep(CALM_S)
        waiting = self._random.sample(self._instances, len(self._instances))
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._size.rolls):
                count = self._random.randint(SMALLEST_ROLL, LARGEST_ROLL)
                chosen, waiting = waiting[:count], waiting[count:] + waiting[:count]
                gap_s = self._random.uniform(0.0, LONGEST_GAP_S)
                for one in chosen:
                    tasks.create_task(self._replace(one))
                    await asyncio.sleep(gap_s)
                await asyncio.sleep(self._random.uniform(0.0, GRACE_S / 2))

    async def _replace(self, instance: RollInstance) -> None:
        """Stop an instance and start it again; some are stopped once more while they start."""
        again = self._random.random() < STOPPED_AGAIN_SHARE
        pause_s = self._random.uniform(0.2, 2.0)
        async with instance.lock:
            await instance.terminate()
            await asyncio.sleep(RESTART_PAUSE_S)
            await asyncio.shield(instance.start())
            if again:
                await asyncio.sleep(pause_s)
                await instance.terminate()
                await asyncio.shield(instance.start())

    async def _burst(self) -> None:
        """Double the longest kind around the first roll."""
        await asyncio.sleep(CALM_S - 1.0)
        for caller in self._callers:
            caller.set_factor("dossier", BURST_FACTOR)
        await asyncio.sleep(BURST_S)
        for caller in self._callers:
            caller.set_factor("dossier", 1.0)

    async def _change(self, until: float) -> None:
        """Publish configurations and ask instances to reload."""
        while time.monotonic() < until:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            self._site.publish_configuration()
            self._random.choice(self._instances).reload()

    def _judge(self) -> RollVerdict:
        runs = Counter(run.request_id for one in self._site.list_engines() for run in one.runs)
        departures = DepartureRecord(
            signals={one.address: one.signals for one in self._instances},
            grace_s=GRACE_S,
            run_ends=find_run_ends(self._site.list_engines()),
            timeouts_s=self._timeouts,
        )
        outcomes: Counter[Outcome] = Counter()
        lost = []
        taken_and_cut = needless = 0
        for one in self._tries:
            record = one.record
            outcome = classify(record, departures, has_run=record.request_id in runs)
            outcomes[outcome] += 1
            if outcome is Outcome.EXCUSED and self._was_leaving(record):
                taken_and_cut += 1
            if outcome is Outcome.LOST:
                lost += [describe(record, departures), *self._find_log_lines(one)]
            if record.status in NOT_RUN_STATUSES and self._was_needless(one, departures):
                needless += 1
        return RollVerdict(
            seed=self._seed,
            outcomes=outcomes,
            taken_and_cut=taken_and_cut,
            needless=needless,
            wrong_runs=count_wrong_runs(self._tries, runs),
            longest_signal_delay_s=max(
                (delay_s for one in self._instances for delay_s in one.list_signal_delays()),
                default=0.0,
            ),
            lost=lost,
            failures=[line for one in self._instances for line in one.failures],
        )

    def _find_log_lines(self, one: RollRequest) -> list[str]:
        request_id = one.record.request_id
        return [
            f"    {instance.name}: {line}"
            for instance in self._instances
            for line in instance.find_log_lines(request_id)
        ]

    def _was_leaving(self, record: RequestRecord) -> bool:
        """Return whether the instance of a request was leaving when it was sent."""
        instance = next(one for one in self._instances if one.address == record.address)
        return any(at <= record.sent_at < at + GRACE_S for at in instance.signals)

    def _was_needless(self, one: RollRequest, departures: DepartureRecord) -> bool:
        """Return whether a leaving instance rejected a request that could have ended in time."""
        record = one.record
        prefill_s = one.work.prompt_tokens / PREFILL_TOKENS_PER_S
        ends_at = record.sent_at + prefill_s + self._durations[record.request_id]
        return any(
            signalled_at <= record.sent_at and ends_at <= signalled_at + GRACE_S - STOP_MARGIN_S
            for signalled_at in departures.signals[record.address]
        )


def count_wrong_runs(tries: Iterable[RollRequest], runs: Counter[str]) -> int:
    """Return the requests that ran though rejected, or twice though they must not.

    Args:
        tries: The requests.
        runs: Runs by request id.
    """
    return sum(
        (one.record.status in NOT_RUN_STATUSES and runs[one.record.request_id] > 0)
        or (runs[one.record.request_id] > 1 and one.work.kind.name not in REPEATABLE_KINDS)
        for one in tries
    )


class _RollSite(Site):
    """Site with many engines of models, whose streams last as long as requests ask for."""

    def __init__(self, *, durations: dict[str, float]) -> None:
        super().__init__()
        self._durations = durations
        self.slots = SLOTS
        self.idle_timeout_ms = 20_000
        self.bounds["grace_s"] = GRACE_S
        self.bounds["revoke_ms"] = 5_000
        self.bounds["budget_slack"] = 108
        self.model_routes = ROUTES

    async def start_models(self) -> None:
        """Start the engines of models."""
        for number in range(MODEL_ENGINES):
            await self.add_engine(f"models-{number}", MODELS)

    def build_engine(self, *args: Any, **options: Any) -> EngineStandIn:
        """Return an engine with the deployment's slots and speed."""
        engine = super().build_engine(*args, **options)
        engine.stream_durations = self._durations
        engine.processing_s = 0.0
        if engine.engine_id.startswith(MODELS):
            engine.batch = PrefillBatch(slots=SLOTS, tokens_per_s=PREFILL_TOKENS_PER_S)
        return engine

    def list_engines(self) -> list[EngineStandIn]:
        """Return all engines, also those that have ended."""
        return [*self.engines.values(), *self.crashed_engines]

"""One soak run: callers send requests under injected faults, then the records are checked."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.platform.settings import BYTES_PER_MB
from guavamast.platform.standins.provider import ProviderStandIn
from soak.callers import Caller
from soak.departures import find_departure_violations
from soak.fault_injector import RELEASE_VERSIONS, FaultInjector
from soak.guarantees import (
    REVOKE_BOUND_S,
    RequestRecord,
    SoakRecord,
    Span,
    find_common_spans,
    find_violations,
)
from soak.kept_streams import GRACES_S, KeptStreams
from soak.lethal import LethalCaller
from soak.partition_record import record_partition
from soak.prompts import PromptCrowd
from soak.rate_limits import RateLimitNamer
from soak.recovery import RecoveryWatch
from soak.schedule import (
    RECOVERY_S,
    Fault,
    plan_answers,
    plan_duty_faults,
    plan_faults,
    plan_partitions,
    plan_releases,
    plan_rolls,
)
from soak.site import KEYS, SoakSite
from soak.slow_readers import MEMORY_MB, PACES, READERS_PER_PACE, MemoryWatch, SlowReader
from soak.stalls import StallWatch
from soak.stream_callers import StreamCaller
from soak.streams import StreamRecord, count_shares, find_stream_violations
from soak.urgency import UrgencyCrowd
from soak.verdict import Verdict

if TYPE_CHECKING:
    from guavamast.urgency_order import OrderWindow

START_TIMEOUT_S: Final = 20.0
"""Timeout for the first instances to be ready, on a busy machine."""
RECOVERY_GRACE_S: Final = 1.5
"""Time from the start of the recovery after which requests must succeed again."""
STREAM_ORGANISATIONS: Final = ("bakery", "florist")
"""Organisations of the callers that take streams up."""
KEPT_ORGANISATION: Final = "florist"
"""Organisation of the callers that keep their connections."""
RELEASED_POOL: Final = 5
"""Engines of the pool in runs with releases."""
MORE_FOR_PROMPTS: Final = 5
"""Further engines of the pool in runs with a part of prompts that ends them."""
CALLERS_PER_ORGANISATION: Final = 3
"""Number of callers of each organisation."""
MORE_CALLERS: Final = {"florist": 6}
"""Further callers in runs with slow readers, so that organisations of one rank differ in demand."""


class SoakRun:
    """One run of the soak.

    Args:
        seed: Seed of faults and callers.
        length_s: Time for which callers send requests.
        instances: Number of instances.
        directory: Directory for settings and logs.
        revoke_s: Time after which a revoked key must be rejected. With a short one, instances
            reject all keys before their state is too old for anything else.
        lethal: Whether a caller repeats a request that ends the engines that run it.
        partitions: Whether instances are partitioned from engines beside the other faults.
        answers: Whether engines change the framing of their answers, and break them off.
        releases: Whether engines are replaced by others of other software versions, and callers
            take streams up at any instance.
        urgency: Whether callers of three kinds ask for more than a further service can do.
        prompts: Whether callers send prompts that share all but one part, which ends engines.
        duties: Whether one instance at a time reports usage, while it and the provider fail.
        slowreaders: Whether further callers read large responses slowly or stop reading, engines
            differ in speed, and one organisation asks for more than the others.
        ratelimits: Whether engines name the requests a second that they take, one after the other.
        kept: Whether callers use connections until they end, while instances stop in series.
        unplanned: Whether faults are injected beside planned work.
        faults: Whether any faults are injected.
    """

    def __init__(
        self,
        *,
        seed: int,
        length_s: float,
        instances: int,
        directory: str,
        revoke_s: float = REVOKE_BOUND_S,
        lethal: bool = False,
        partitions: bool = False,
        answers: bool = False,
        releases: bool = False,
        urgency: bool = False,
        prompts: bool = False,
        duties: bool = False,
        slowreaders: bool = False,
        ratelimits: bool = False,
        kept: bool = False,
        unplanned: bool = True,
        faults: bool = True,
    ) -> None:
        self._seed = seed
        self._length_s = length_s
        self._instance_count = instances
        self._site = SoakSite(directory=directory)
        self._site.bounds["revoke_ms"] = int(revoke_s * 1000)
        self._revoke_s = revoke_s
        self._lethal_caller = LethalCaller(
            instances=self._site.instances, random=Random(f"{seed}lethal")
        )
        self._lethal = lethal
        self._plans_partitions = partitions
        self._plans_answers = answers
        self._plans_releases = releases
        self._injects_faults = faults
        self._injects_unplanned = unplanned
        self._kept_streams = (
            KeptStreams(
                key=KEYS[KEPT_ORGANISATION],
                organisation=KEPT_ORGANISATION,
                durations=self._site.stream_durations,
                random=Random(f"{seed}kept"),
            )
            if kept
            else None
        )
        if kept:
            self._site.bounds["grace_s"] = GRACES_S[seed % len(GRACES_S)]
        self._site.has_slow_readers = slowreaders
        self._stalls = StallWatch()
        self._memory = MemoryWatch(instances=self._site.instances)
        self._crowd = (
            UrgencyCrowd(site=self._site, random=Random(f"{seed}urgency"), resolves=not unplanned)
            if urgency
            else None
        )
        self._prompts = (
            PromptCrowd(site=self._site, random=Random(f"{seed}prompts")) if prompts else None
        )
        self._limits = (
            RateLimitNamer(site=self._site, random=Random(f"{seed}limits")) if ratelimits else None
        )
        if duties:
            self._site.provider = ProviderStandIn(
                fenced=seed % 2 == 0, random=Random(f"{seed}provider")
            )
        self._recovery = RecoveryWatch(instances=self._site.instances)
        self._streams: list[StreamRecord] = []
        self._requests: list[RequestRecord] = []
        self._disruptions: list[Span] = []
        self._external_disruptions: list[Span] = []
        self._injected_faults: list[str] = []
        self._injector = FaultInjector(site=self._site, changes_software=releases)

    async def run(self) -> Verdict:
        """Start the site, run callers while faults are injected, stop the site and check."""
        site = self._site
        more = MORE_FOR_PROMPTS if self._prompts is not None else 0
        if self._plans_releases:
            versions = RELEASE_VERSIONS[:2]
            await site.start(pool=RELEASED_POOL + more, portal=3, pool_versions=versions)
        else:
            await site.start(pool=3 + more, portal=3)
        if self._crowd is not None:
            await self._crowd.start_engines()
        for number in range(self._instance_count):
            await site.add_instance(f"one-{number}")
        try:
            await self._wait_until_serving()
            started_at = time.monotonic()
            self._recovery.ended_at = started_at + self._length_s
            async with asyncio.TaskGroup() as tasks:
                self._start_callers(tasks, started_at)
                injections = [
                    (fault, tasks.create_task(self._inject(fault, started_at)))
                    for fault in self._plan()
                ]
                kills = [injection for fault, injection in injections if fault.kind.kills]
                tasks.create_task(self._recovery.run(kills))
        finally:
            await site.stop()
        return self._build_verdict(started_at + self._length_s)

    async def _run_to_end(self, caller: Caller | StreamCaller) -> None:
        """Run a caller until the end of the run, which late starts of instances put off."""
        while time.monotonic() < self._recovery.ended_at:
            await caller.run(self._recovery.ended_at)

    def _start_callers(self, tasks: asyncio.TaskGroup, started_at: float) -> None:
        """Start the callers; those of single parts leave the recovery to the others."""
        until = started_at + self._length_s
        recovery_at = until - RECOVERY_S
        for caller in self._build_callers():
            tasks.create_task(self._run_to_end(caller))
        for stream_caller in self._build_stream_callers():
            tasks.create_task(self._run_to_end(stream_caller))
        if self._crowd is not None:
            tasks.create_task(self._crowd.run(recovery_at))
        if self._prompts is not None:
            tasks.create_task(self._prompts.run(recovery_at))
        if self._kept_streams is not None:
            addresses = [instance.caller_address for instance in self._site.instances]
            tasks.create_task(self._kept_streams.run(addresses, until=recovery_at))
        if self._limits is not None:
            tasks.create_task(self._limits.run(recovery_at))
        tasks.create_task(self._stalls.run(until))
        if self._site.has_slow_readers:
            tasks.create_task(self._memory.run(until))
        for slow_reader in self._build_slow_readers():
            tasks.create_task(slow_reader.run(recovery_at))
        if self._lethal:
            tasks.create_task(self._repeat_lethal(started_at))

    def _plan(self) -> list[Fault]:
        if not self._injects_faults:
            return []
        faults = plan_faults(self._seed, length_s=self._length_s)
        if self._plans_partitions:
            faults += plan_partitions(self._seed, length_s=self._length_s)
        if self._plans_answers:
            faults += plan_answers(self._seed, length_s=self._length_s)
        if self._plans_releases:
            faults += plan_releases(self._seed, length_s=self._length_s)
        if self._site.provider is not None:
            faults += plan_duty_faults(self._seed, length_s=self._length_s)
        if self._kept_streams is not None:
            faults += plan_rolls(
                self._seed,
                length_s=self._length_s,
                instances=self._instance_count,
                grace_s=self._site.bounds["grace_s"],
            )
        return [fault for fault in faults if self._injects_unplanned or fault.kind.planned]

    def _build_verdict(self, planned_end: float) -> Verdict:
        recovery_at = planned_end - RECOVERY_S
        ended_at = self._recovery.ended_at
        if self._crowd is not None:
            self._requests += self._crowd.requests
        if self._prompts is not None:
            self._requests += self._prompts.requests
        if self._kept_streams is not None:
            self._requests += self._kept_streams.list_requests()
        record = SoakRecord(
            requests=self._requests,
            runs=self._site.list_runs(),
            revoked=self._site.revoked,
            drains=self._site.drains,
            disruptions=self._disruptions,
            external_disruptions=self._external_disruptions,
            instance_disruptions={
                request_id: instance.disruptions
                for request_id, instance in self._lethal_caller.senders.items()
            },
            revoke_s=self._revoke_s,
            recovered_at=recovery_at + RECOVERY_GRACE_S,
            ended_at=ended_at,
            late_starts=self._recovery.starts,
            partitions=[
                record_partition(span, partitioned=instances, instances=self._site.instances)
                for span, instances in self._injector.partitions
            ],
            memory_peaks=self._memory.peaks,
            memory_bytes=MEMORY_MB * BYTES_PER_MB if self._site.has_slow_readers else 0,
        )
        return Verdict(
            seed=self._seed,
            requests=len(self._requests),
            answered=sum(request.status == 200 and request.complete for request in self._requests),
            faults=self._injected_faults,
            worst_order=self._find_worst_order(),
            longest_stall_s=self._stalls.longest_s,
            shares=count_shares(self._streams, self._list_disruptions()),
            violations=[
                *find_violations(record),
                *find_departure_violations(record, self._site.build_departures()),
                *find_stream_violations(self._streams, self._list_disruptions()),
                *self._site.find_instance_failures(),
                *self._find_order_violations(),
                *self._find_prompt_violations(recovery_at),
                *self._recovery.violations,
                *self._find_limit_violations(),
                *(self._site.provider.find_violations() if self._site.provider else ()),
            ],
        )

    def _find_prompt_violations(self, until: float) -> list[str]:
        if self._prompts is None:
            return []
        return self._prompts.find_violations(self._site.list_runs(), self._disruptions, until=until)

    def _find_limit_violations(self) -> list[str]:
        if self._limits is None:
            return []
        return self._limits.find_violations(self._requests, self._list_disruptions())

    def _find_order_violations(self) -> list[str]:
        if self._crowd is None:
            return []
        return self._crowd.find_violations(self._list_order_disruptions())

    def _list_order_disruptions(self) -> list[Span]:
        """Return the disruptions, and when rolls that overlap left no instance to ask."""
        own = [instance.disruptions for instance in self._site.instances]
        return self._disruptions + find_common_spans(own)

    def _find_worst_order(self) -> OrderWindow | None:
        if self._crowd is None:
            return None
        windows = self._crowd.list_windows(self._list_order_disruptions())
        return windows[0] if windows else None

    def _list_disruptions(self) -> dict[str, list[Span]]:
        """Return the disruptions of each instance, by its address."""
        return {one.caller_address: one.disruptions for one in self._site.instances}

    def _build_callers(self) -> list[Caller]:
        directories = [instance.directory_address for instance in self._site.instances]
        callers = []
        for organisation, key in KEYS.items():
            more = MORE_CALLERS.get(organisation, 0) if self._site.has_slow_readers else 0
            for number in range(CALLERS_PER_ORGANISATION + more):
                name = f"{organisation}.{number}"
                random = Random(f"{self._seed}{name}")
                caller = Caller(
                    name=name,
                    organisation=organisation,
                    key=key,
                    directories=directories,
                    random=random,
                    requests=self._requests,
                    holds_connection=number == 0,
                )
                callers.append(caller)
        return callers

    def _build_slow_readers(self) -> list[SlowReader]:
        if not self._site.has_slow_readers:
            return []
        return [
            SlowReader(
                number=number,
                key=KEYS["bakery"],
                organisation="bakery",
                instances=self._site.instances,
                random=Random(f"{self._seed}slow{number}"),
                requests=self._requests,
            )
            for number in range(READERS_PER_PACE * len(PACES))
        ]

    def _build_stream_callers(self) -> list[StreamCaller]:
        if not self._plans_releases:
            return []
        return [
            StreamCaller(
                name=f"{organisation}.stream.{number}",
                organisation=organisation,
                key=KEYS[organisation],
                addresses=[instance.caller_address for instance in self._site.instances],
                random=Random(f"{self._seed}{organisation}stream{number}"),
                requests=self._requests,
                streams=self._streams,
                count_serving=self._site.count_serving,
            )
            for organisation in STREAM_ORGANISATIONS
            for number in range(CALLERS_PER_ORGANISATION)
        ]

    async def _repeat_lethal(self, started_at: float) -> None:
        await self._lethal_caller.run(started_at + self._length_s - RECOVERY_S)

    async def _wait_until_serving(self) -> None:
        """Wait until each instance serves a caller."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in self._site.instances:
                probe = Caller(
                    name=f"probe-{instance.name}",
                    organisation="bakery",
                    key=KEYS["bakery"],
                    directories=[instance.directory_address],
                    random=Random(0),
                    requests=self._requests,
                )
                request_count = len(self._requests)
                while not any(request.status == 200 for request in self._requests[request_count:]):
                    await probe.run(time.monotonic() + 0.2)

    async def _inject(self, fault: Fault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.start_s - time.monotonic()))
        self._injected_faults.append(f"{fault.start_s:.2f} {fault.kind} for {fault.duration_s:.2f}")
        injected_at = time.monotonic()
        await self._injector.inject(fault)
        if fault.kind.planned:
            return
        span = Span(started_at=injected_at, ended_at=time.monotonic())
        self._disruptions.append(span)
        if not fault.kind.affects_instances:
            self._external_disruptions.append(span)

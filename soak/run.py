"""One soak run: callers send requests under injected faults, then the records are checked."""

from __future__ import annotations

import asyncio
import time
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.answer_body import WHOLE, AnswerEnding, Closing
from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.store import StoreFault
from guavamast.relay.response_end import BodyFraming
from soak.callers import Caller
from soak.guarantees import (
    REVOKE_BOUND_S,
    SPREAD_BOUND_S,
    PartitionRecord,
    RequestRecord,
    SoakRecord,
    Span,
    find_violations,
    is_undisturbed,
)
from soak.lethal import LethalCaller
from soak.partitions import Partition, PartitionKind, write_partition
from soak.proxy import LinkFault
from soak.schedule import (
    RECOVERY_S,
    Fault,
    FaultKind,
    plan_answers,
    plan_faults,
    plan_partitions,
)
from soak.site import KEYS, SoakSite

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.instances import Instance

START_TIMEOUT_S: Final = 20.0
"""Timeout for the first instances to be ready, on a busy machine."""
RECOVERY_GRACE_S: Final = 1.5
"""Time from the start of the recovery after which requests must succeed again."""
RESTART_DELAY_S: Final = 0.3
"""Delay between the end of a process and the start of the next one with a skewed wall clock."""
CALLERS_PER_ORGANISATION: Final = 3
"""Number of callers of each organisation."""
SKEWS_S: Final = (-3.0, 2.5, 3600.0)
"""Seconds by which the wall clock is ahead: small steps either way, and a large one."""
ENGINE_FAULTS: Final = (
    EngineFault.FULL,
    EngineFault.ERROR,
    EngineFault.CUT,
    EngineFault.LOSE,
    EngineFault.EXTRA,
    EngineFault.CROSSED,
    EngineFault.HANG,
    EngineFault.UNSEALED,
)
ANSWER_FRAMINGS: Final = tuple(BodyFraming)
ANSWER_ENDINGS: Final = (
    AnswerEnding(pieces=2, part_bytes=9),
    AnswerEnding(pieces=2, part_bytes=9, closing=Closing.CLOSE),
    AnswerEnding(pieces=2, part_bytes=9, closing=Closing.RESET),
    AnswerEnding(pieces=3, closing=Closing.RESET),
    AnswerEnding(pieces=3, closing=Closing.CRASH),
    AnswerEnding(pieces=0, part_bytes=4, closing=Closing.RESET),
    AnswerEnding(pieces=0, part_bytes=4, closing=Closing.CRASH),
)
"""Endings that can be told from those of whole answers in each framing: a sound engine that closes
a connection in order between two events, or inside a plain answer without length, can't."""
STORE_FAULTS: Final = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS)
LINK_FAULTS: Final = (
    LinkFault.DELAY,
    LinkFault.CUT_TO_SERVER,
    LinkFault.CUT_TO_CLIENT,
    LinkFault.SILENT,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of one run."""

    seed: int
    requests: int
    answered: int
    faults: list[str]
    """Injected faults: start, kind and duration."""
    violations: list[str]
    """Violated guarantees."""


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
        self._partitions: list[tuple[Span, list[Instance]]] = []
        self._requests: list[RequestRecord] = []
        self._disruptions: list[Span] = []
        self._external_disruptions: list[Span] = []
        self._injected_faults: list[str] = []
        self._injectors: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.INSTANCE_KILL: self._kill_instance,
            FaultKind.INSTANCE_FREEZE: self._freeze_instance,
            FaultKind.INSTANCE_TERM: self._terminate_instance,
            FaultKind.INSTANCE_HUP: self._reload_instance,
            FaultKind.INSTANCE_SKEW: self._skew_instance,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.ENGINE_LINK: self._impair_engine_link,
            FaultKind.ENGINE_RESET: self._reset_engine_link,
            FaultKind.ENGINE_ANSWERS: self._inject_engine_fault,
            FaultKind.ENGINE_CRASH: self._crash_engine,
            FaultKind.ENGINE_REUSE: self._reuse_address,
            FaultKind.ENGINE_DRAIN: self._drain_engine,
            FaultKind.STORE_LINK: self._impair_store_link,
            FaultKind.STORE_ANSWERS: self._inject_store_fault,
            FaultKind.CONFIG_CHANGE: self._change_configuration,
            FaultKind.REVOKE: self._revoke,
            FaultKind.PARTITION: self._partition,
            FaultKind.ANSWER_FRAMING: self._frame_answers,
            FaultKind.ANSWER_ENDING: self._break_answers_off,
        }

    async def run(self) -> Verdict:
        """Start the site, run callers while faults are injected, stop the site and check."""
        site = self._site
        await site.start(pool=3, portal=3)
        for number in range(self._instance_count):
            await site.add_instance(f"one-{number}")
        try:
            await self._wait_until_serving()
            started_at = time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for caller in self._build_callers():
                    tasks.create_task(caller.run(started_at + self._length_s))
                if self._lethal:
                    tasks.create_task(self._repeat_lethal(started_at))
                for fault in self._plan():
                    tasks.create_task(self._inject(fault, started_at))
        finally:
            await site.stop()
        return self._build_verdict(started_at + self._length_s)

    def _plan(self) -> list[Fault]:
        faults = plan_faults(self._seed, length_s=self._length_s)
        if self._plans_partitions:
            faults += plan_partitions(self._seed, length_s=self._length_s)
        if self._plans_answers:
            faults += plan_answers(self._seed, length_s=self._length_s)
        return faults

    def _build_verdict(self, ended_at: float) -> Verdict:
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
            recovered_at=ended_at - RECOVERY_S + RECOVERY_GRACE_S,
            ended_at=ended_at,
            partitions=[
                PartitionRecord(
                    span=span,
                    addresses=frozenset(
                        instance.caller_address
                        for instance in instances
                        if is_undisturbed(
                            instance.disruptions,
                            span.started_at,
                            span.ended_at,
                            after_s=SPREAD_BOUND_S,
                        )
                    ),
                )
                for span, instances in self._partitions
            ],
        )
        return Verdict(
            seed=self._seed,
            requests=len(self._requests),
            answered=sum(request.status == 200 and request.complete for request in self._requests),
            faults=self._injected_faults,
            violations=find_violations(record) + self._site.find_instance_failures(),
        )

    def _build_callers(self) -> list[Caller]:
        directories = [instance.directory_address for instance in self._site.instances]
        callers = []
        for organisation, key in KEYS.items():
            for number in range(CALLERS_PER_ORGANISATION):
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
        await self._injectors[fault.kind](fault)
        if fault.kind.planned:
            return
        span = Span(started_at=injected_at, ended_at=time.monotonic())
        self._disruptions.append(span)
        if not fault.kind.affects_instances:
            self._external_disruptions.append(span)

    def _choose_instance(self, fault: Fault) -> int:
        return int(fault.target * len(self._site.instances))

    async def _kill_instance(self, fault: Fault) -> None:
        await self._site.instances[self._choose_instance(fault)].kill(for_s=fault.duration_s)

    async def _freeze_instance(self, fault: Fault) -> None:
        await self._site.instances[self._choose_instance(fault)].freeze(for_s=fault.duration_s)

    async def _terminate_instance(self, fault: Fault) -> None:
        await self._site.instances[self._choose_instance(fault)].terminate()

    async def _reload_instance(self, fault: Fault) -> None:
        self._site.instances[self._choose_instance(fault)].reload()

    async def _skew_instance(self, fault: Fault) -> None:
        skew_s = SKEWS_S[int(fault.variant * len(SKEWS_S))]
        instance = self._site.instances[self._choose_instance(fault)]
        await instance.kill(for_s=RESTART_DELAY_S, skew_s=skew_s)

    async def _kill_all(self, fault: Fault) -> None:
        kills = [instance.kill(for_s=fault.duration_s) for instance in self._site.instances]
        await asyncio.gather(*kills)

    async def _impair_engine_link(self, fault: Fault) -> None:
        link = self._site.links[fault.choose_target(sorted(self._site.links))]
        link.fault = LINK_FAULTS[int(fault.variant * len(LINK_FAULTS))]
        await asyncio.sleep(fault.duration_s)
        link.fault = LinkFault.NONE

    async def _reset_engine_link(self, fault: Fault) -> None:
        self._site.links[fault.choose_target(sorted(self._site.links))].reset_all()

    async def _inject_engine_fault(self, fault: Fault) -> None:
        engine = self._site.engines[fault.choose_target(sorted(self._site.engines))]
        engine.fault = ENGINE_FAULTS[int(fault.variant * len(ENGINE_FAULTS))]
        await asyncio.sleep(fault.duration_s)
        engine.fault = EngineFault.NONE

    async def _frame_answers(self, fault: Fault) -> None:
        service = fault.choose_target(["pool", "portal"])
        engines = [
            engine
            for engine_id, engine in self._site.engines.items()
            if self._site.engine_services[engine_id] == service
        ]
        for engine in engines:
            engine.framing = ANSWER_FRAMINGS[int(fault.variant * len(ANSWER_FRAMINGS))]
        await asyncio.sleep(fault.duration_s)
        for engine in engines:
            engine.framing = None

    async def _break_answers_off(self, fault: Fault) -> None:
        engine = self._site.engines[fault.choose_target(sorted(self._site.engines))]
        engine.ending = ANSWER_ENDINGS[int(fault.variant * len(ANSWER_ENDINGS))]
        await asyncio.sleep(fault.duration_s)
        engine.ending = WHOLE

    async def _crash_engine(self, fault: Fault) -> None:
        engine_id = fault.choose_target(sorted(self._site.engines))
        await self._site.crash_engine(engine_id)
        await asyncio.sleep(fault.duration_s)
        if engine_id in self._site.engines:
            await self._site.restart_engine(engine_id)

    async def _reuse_address(self, fault: Fault) -> None:
        """Crash an engine, reassign its address and replace it at another address."""
        engine_id = fault.choose_target(sorted(self._site.engines))
        service = self._site.engine_services[engine_id]
        await self._site.crash_engine(engine_id)
        new_id = f"{engine_id}-{len(self._injected_faults)}"
        await self._site.reuse_address(engine_id, f"{new_id}-stranger")
        await self._site.add_engine(new_id, service)

    async def _drain_engine(self, fault: Fault) -> None:
        engine_id = fault.choose_target(sorted(self._site.engines))
        self._site.list_engine_link(engine_id, state="draining")
        drain_started_at = time.monotonic()
        await asyncio.sleep(fault.duration_s)
        if engine_id in self._site.links:
            self._site.list_engine_link(engine_id)
        span = Span(started_at=drain_started_at, ended_at=time.monotonic())
        self._site.drains.setdefault(engine_id, []).append(span)

    async def _impair_store_link(self, fault: Fault) -> None:
        instance = self._site.instances[self._choose_instance(fault)]
        link = instance.store_link
        with instance.record_disruption():
            link.fault = LINK_FAULTS[int(fault.variant * len(LINK_FAULTS))]
            await asyncio.sleep(fault.duration_s)
            link.fault = LinkFault.NONE
            link.reset_all()

    async def _inject_store_fault(self, fault: Fault) -> None:
        with ExitStack() as disruptions:
            for instance in self._site.instances:
                disruptions.enter_context(instance.record_disruption())
            self._site.store.fault = STORE_FAULTS[int(fault.variant * len(STORE_FAULTS))]
            await asyncio.sleep(fault.duration_s)
            self._site.store.fault = StoreFault.NONE

    async def _change_configuration(self, fault: Fault) -> None:
        del fault
        self._site.publish_configuration()

    async def _revoke(self, fault: Fault) -> None:
        revocable = [name for name in KEYS if name.startswith("revocable")]
        self._site.revoke(fault.choose_target(revocable))

    async def _partition(self, fault: Fault) -> None:
        """Partition one to all instances from all engines, or from those of one service."""
        instances = self._site.instances
        affected = instances[: 1 + int(fault.target * len(instances))]
        kinds = list(PartitionKind)
        kind = kinds[int(fault.variant * len(kinds))]
        scopes = (("pool", "portal"), ("pool",), ("portal",))
        services = scopes[int(fault.variant * 100) % len(scopes)]
        ports = frozenset(
            link.port
            for engine_id, link in self._site.links.items()
            if self._site.engine_services[engine_id] in services
        )
        for instance in affected:
            write_partition(instance.partition_file, Partition(kind=kind, ports=ports))
        started_at = time.monotonic()
        await asyncio.sleep(fault.duration_s)
        for instance in affected:
            write_partition(instance.partition_file, None)
        span = Span(started_at=started_at, ended_at=time.monotonic())
        self._partitions.append((span, affected))

"""One run of the soak: callers ask while faults strike, then all that was seen is checked."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.store import StoreFault
from soak.callers import Caller
from soak.promises import REVOKE_S, Asked, Record, Span, check
from soak.proxy import LinkFault
from soak.schedule import RECOVERY_S, Fault, FaultKind, plan_faults
from soak.world import KEYS, World

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

START_S: Final = 20.0
"""Time for the first instances to be ready, on a busy machine."""
SETTLE_S: Final = 1.5
"""Part of the recovery after which all requests must be answered again."""
RESTART_S: Final = 0.3
"""Between the end of a process and the start of the next one with another time of day."""
CALLERS_EACH: Final = 3
"""Callers of each organisation."""
SKEWS_S: Final = (-3.0, 2.5, 3600.0)
"""Seconds by which the time of day is ahead: small steps either way, and one that lasts."""
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
STORE_FAULTS: Final = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS)
LINK_FAULTS: Final = (
    LinkFault.DELAY,
    LinkFault.CUT_TO_SERVER,
    LinkFault.CUT_TO_CLIENT,
    LinkFault.SILENT,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What came of one run."""

    seed: int
    asked: int
    answered: int
    faults: list[str]
    """The faults that struck."""
    broken: list[str]
    """Broken promises; empty when all were kept."""


class SoakRun:
    """Carries out one run.

    Args:
        seed: Decides faults and callers.
        length_s: Time for which callers ask.
        instances: How many instances there are.
        directory: Where settings and logs are written.
        revoke_s: Time after which a revoked key must not work. A short one has instances refuse
            all keys before their knowledge is too old for anything else.
    """

    def __init__(
        self,
        *,
        seed: int,
        length_s: float,
        instances: int,
        directory: str,
        revoke_s: float = REVOKE_S,
    ) -> None:
        self._seed = seed
        self._length_s = length_s
        self._instances = instances
        self._world = World(directory=directory)
        self._world.bounds["revoke_ms"] = int(revoke_s * 1000)
        self._revoke_s = revoke_s
        self._asked: list[Asked] = []
        self._disruptions: list[Span] = []
        self._outer_disruptions: list[Span] = []
        self._struck: list[str] = []
        self._strikes: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.INSTANCE_KILL: self._kill_instance,
            FaultKind.INSTANCE_FREEZE: self._freeze_instance,
            FaultKind.INSTANCE_TERM: self._terminate_instance,
            FaultKind.INSTANCE_HUP: self._reload_instance,
            FaultKind.INSTANCE_SKEW: self._skew_instance,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.ENGINE_LINK: self._disturb_engine_link,
            FaultKind.ENGINE_RESET: self._reset_engine_link,
            FaultKind.ENGINE_ANSWERS: self._spoil_answers,
            FaultKind.ENGINE_CRASH: self._crash_engine,
            FaultKind.ENGINE_REUSE: self._reuse_address,
            FaultKind.ENGINE_DRAIN: self._drain_engine,
            FaultKind.STORE_LINK: self._disturb_store_link,
            FaultKind.STORE_ANSWERS: self._spoil_store,
            FaultKind.CONFIG_CHANGE: self._change_configuration,
            FaultKind.REVOKE: self._revoke,
        }

    async def run(self) -> Verdict:
        """Start all, let callers ask while faults strike, stop all and check."""
        world = self._world
        await world.start(pool=3, portal=3)
        for number in range(self._instances):
            await world.add_instance(f"one-{number}")
        try:
            await self._wait_served()
            began = time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for caller in self._make_callers():
                    tasks.create_task(caller.run(began + self._length_s))
                for fault in plan_faults(self._seed, length_s=self._length_s):
                    tasks.create_task(self._strike(fault, began))
        finally:
            await world.stop()
        return self._judge(began + self._length_s)

    def _judge(self, ended: float) -> Verdict:
        record = Record(
            asked=self._asked,
            ran=self._world.list_runs(),
            revoked=self._world.revoked,
            drains=self._world.drains,
            disruptions=self._disruptions,
            outer_disruptions=self._outer_disruptions,
            revoke_s=self._revoke_s,
            recovered=ended - RECOVERY_S + SETTLE_S,
            ended=ended,
        )
        return Verdict(
            seed=self._seed,
            asked=len(self._asked),
            answered=sum(asked.status == 200 and asked.whole for asked in self._asked),
            faults=self._struck,
            broken=check(record) + self._world.find_surprises(),
        )

    def _make_callers(self) -> list[Caller]:
        directories = [instance.directory for instance in self._world.instances]
        callers = []
        for organisation, key in KEYS.items():
            for number in range(CALLERS_EACH):
                name = f"{organisation}.{number}"
                random = Random(f"{self._seed}{name}")
                caller = Caller(
                    name=name,
                    organisation=organisation,
                    key=key,
                    directories=directories,
                    random=random,
                    asked=self._asked,
                )
                callers.append(caller)
        return callers

    async def _wait_served(self) -> None:
        """Return when each instance answers a caller."""
        async with asyncio.timeout(START_S):
            for instance in self._world.instances:
                probe = Caller(
                    name=f"probe-{instance.name}",
                    organisation="bakery",
                    key=KEYS["bakery"],
                    directories=[instance.directory],
                    random=Random(0),
                    asked=self._asked,
                )
                answered = len(self._asked)
                while not any(asked.status == 200 for asked in self._asked[answered:]):
                    await probe.run(time.monotonic() + 0.2)

    async def _strike(self, fault: Fault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
        self._struck.append(f"{fault.at_s:.2f} {fault.kind} for {fault.for_s:.2f}")
        start = time.monotonic()
        await self._strikes[fault.kind](fault)
        if fault.kind.planned:
            return
        span = Span(began=start, ended=time.monotonic())
        self._disruptions.append(span)
        if not fault.kind.strikes_instances:
            self._outer_disruptions.append(span)

    def _choose_instance(self, fault: Fault) -> int:
        return int(fault.pick * len(self._world.instances))

    async def _kill_instance(self, fault: Fault) -> None:
        await self._world.instances[self._choose_instance(fault)].kill(for_s=fault.for_s)

    async def _freeze_instance(self, fault: Fault) -> None:
        await self._world.instances[self._choose_instance(fault)].freeze(for_s=fault.for_s)

    async def _terminate_instance(self, fault: Fault) -> None:
        await self._world.instances[self._choose_instance(fault)].terminate()

    async def _reload_instance(self, fault: Fault) -> None:
        self._world.instances[self._choose_instance(fault)].reload()

    async def _skew_instance(self, fault: Fault) -> None:
        skew_s = SKEWS_S[int(fault.variant * len(SKEWS_S))]
        instance = self._world.instances[self._choose_instance(fault)]
        await instance.kill(for_s=RESTART_S, skew_s=skew_s)

    async def _kill_all(self, fault: Fault) -> None:
        kills = [instance.kill(for_s=fault.for_s) for instance in self._world.instances]
        await asyncio.gather(*kills)

    async def _disturb_engine_link(self, fault: Fault) -> None:
        link = self._world.links[fault.choose(sorted(self._world.links))]
        link.fault = LINK_FAULTS[int(fault.variant * len(LINK_FAULTS))]
        await asyncio.sleep(fault.for_s)
        link.fault = LinkFault.NONE

    async def _reset_engine_link(self, fault: Fault) -> None:
        self._world.links[fault.choose(sorted(self._world.links))].reset_all()

    async def _spoil_answers(self, fault: Fault) -> None:
        engine = self._world.engines[fault.choose(sorted(self._world.engines))]
        engine.fault = ENGINE_FAULTS[int(fault.variant * len(ENGINE_FAULTS))]
        await asyncio.sleep(fault.for_s)
        engine.fault = EngineFault.NONE

    async def _crash_engine(self, fault: Fault) -> None:
        engine_id = fault.choose(sorted(self._world.engines))
        await self._world.crash_engine(engine_id)
        await asyncio.sleep(fault.for_s)
        if engine_id in self._world.engines:
            await self._world.restart_engine(engine_id)

    async def _reuse_address(self, fault: Fault) -> None:
        """Crash an engine, give its address away, and replace it elsewhere."""
        engine_id = fault.choose(sorted(self._world.engines))
        service = self._world.services[engine_id]
        await self._world.crash_engine(engine_id)
        new_id = f"{engine_id}-{len(self._struck)}"
        await self._world.reuse_address(engine_id, f"{new_id}-stranger")
        await self._world.add_engine(new_id, service)

    async def _drain_engine(self, fault: Fault) -> None:
        engine_id = fault.choose(sorted(self._world.engines))
        self._world.list_at_link(engine_id, state="draining")
        began = time.monotonic()
        await asyncio.sleep(fault.for_s)
        if engine_id in self._world.links:
            self._world.list_at_link(engine_id)
        span = Span(began=began, ended=time.monotonic())
        self._world.drains.setdefault(engine_id, []).append(span)

    async def _disturb_store_link(self, fault: Fault) -> None:
        link = self._world.instances[self._choose_instance(fault)].store_link
        link.fault = LINK_FAULTS[int(fault.variant * len(LINK_FAULTS))]
        await asyncio.sleep(fault.for_s)
        link.fault = LinkFault.NONE
        link.reset_all()

    async def _spoil_store(self, fault: Fault) -> None:
        self._world.store.fault = STORE_FAULTS[int(fault.variant * len(STORE_FAULTS))]
        await asyncio.sleep(fault.for_s)
        self._world.store.fault = StoreFault.NONE

    async def _change_configuration(self, fault: Fault) -> None:
        del fault
        self._world.publish_configuration()

    async def _revoke(self, fault: Fault) -> None:
        revocable = [name for name in KEYS if name.startswith("revocable")]
        self._world.revoke(fault.choose(revocable))

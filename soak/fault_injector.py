"""Injects the faults of a soak run into its site."""

from __future__ import annotations

import asyncio
import time
from contextlib import ExitStack
from math import ceil
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.answer_body import WHOLE, AnswerEnding, Closing
from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.provider import ProviderFault
from guavamast.platform.standins.store import StoreFault
from guavamast.relay.response_end import BodyFraming
from soak.guarantees import Span
from soak.partitions import Partition, PartitionKind, write_partition
from soak.proxy import LinkFault
from soak.schedule import LONGEST_FAULT_S, RELEASE_DRAIN_S, RELEASED_ENGINES, FaultKind
from soak.site import KEYS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.instances import Instance
    from soak.schedule import Fault
    from soak.site import SoakSite

RESTART_DELAY_S: Final = 0.3
"""Delay between the end of a process and the start of the next one with a skewed wall clock."""
SKEWS_S: Final = (-3.0, 2.5, 3600.0)
"""Seconds by which the wall clock is ahead: small steps either way, and a large one."""
ROLLED_RANGE: Final = 0.5
"""Share of the instances that a roll leaves out at most."""
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
RELEASE_VERSIONS: Final = ("v1", "v2", "v3")
STORE_FAULTS: Final = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS)
PROVIDER_FAULTS: Final = tuple(kind for kind in ProviderFault if kind is not ProviderFault.NONE)
LINK_FAULTS: Final = (
    LinkFault.DELAY,
    LinkFault.CUT_TO_SERVER,
    LinkFault.CUT_TO_CLIENT,
    LinkFault.SILENT,
)


class FaultInjector:
    """Carries out the faults of one run.

    Args:
        site: The site of the run.
        changes_software: Whether an engine that crashed starts again with other software.
    """

    def __init__(self, *, site: SoakSite, changes_software: bool = False) -> None:
        self._site = site
        self._changes_software = changes_software
        self._reused_addresses = 0
        self._released_engines = 0
        self.partitions: list[tuple[Span, list[Instance]]] = []
        """Time and instances of each partition."""
        self._injectors: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.INSTANCE_KILL: self._kill_instance,
            FaultKind.INSTANCE_FREEZE: self._freeze_instance,
            FaultKind.INSTANCE_TERM: self._terminate_instance,
            FaultKind.INSTANCE_HUP: self._reload_instance,
            FaultKind.INSTANCE_ROLL: self._roll_instances,
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
            FaultKind.RELEASE: self._release,
            FaultKind.PROVIDER_CALLS: self._inject_provider_fault,
            FaultKind.INSTANCE_HOLDER: self._fail_holder,
        }

    async def inject(self, fault: Fault) -> None:
        """Carry out a fault; return when it is over."""
        await self._injectors[fault.kind](fault)

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

    async def _roll_instances(self, fault: Fault) -> None:
        """Stop half of the instances or more, one after the other, each with SIGHUP meanwhile."""
        instances = self._site.instances
        first = self._choose_instance(fault)
        count = ceil(len(instances) * (1.0 - ROLLED_RANGE * fault.variant))
        async with asyncio.TaskGroup() as tasks:
            for instance in (instances[first:] + instances[:first])[:count]:
                if not instance.is_disrupted:
                    tasks.create_task(instance.terminate())
                await asyncio.sleep(fault.duration_s / 2)
                instance.reload()
                await asyncio.sleep(fault.duration_s / 2)

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
        engine = self._site.engines[fault.choose_target(self._site.list_linked_engines())]
        engine.fault = ENGINE_FAULTS[int(fault.variant * len(ENGINE_FAULTS))]
        await asyncio.sleep(fault.duration_s)
        engine.fault = EngineFault.NONE

    async def _inject_provider_fault(self, fault: Fault) -> None:
        provider = self._site.provider
        assert provider is not None
        provider.fault = PROVIDER_FAULTS[int(fault.variant * len(PROVIDER_FAULTS))]
        await asyncio.sleep(fault.duration_s)
        provider.fault = ProviderFault.NONE

    async def _fail_holder(self, fault: Fault) -> None:
        """Kill or freeze the instance that made the last call, as far as there was one."""
        provider = self._site.provider
        assert provider is not None
        if not provider.calls:
            return
        name = provider.calls[-1].holder
        instance = next(one for one in self._site.instances if one.name == name)
        if fault.variant < 0.5:
            await instance.kill(for_s=min(fault.duration_s, LONGEST_FAULT_S))
        else:
            await instance.freeze(for_s=fault.duration_s)

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
        engine = self._site.engines[fault.choose_target(self._site.list_linked_engines())]
        engine.ending = ANSWER_ENDINGS[int(fault.variant * len(ANSWER_ENDINGS))]
        await asyncio.sleep(fault.duration_s)
        engine.ending = WHOLE

    async def _crash_engine(self, fault: Fault) -> None:
        engine_id = fault.choose_target(self._site.list_linked_engines())
        await self._site.crash_engine(engine_id)
        await asyncio.sleep(fault.duration_s)
        if engine_id in self._site.engines:
            version = None
            if self._changes_software:
                version = RELEASE_VERSIONS[int(fault.variant * len(RELEASE_VERSIONS))]
            await self._site.restart_engine(engine_id, version=version)

    async def _reuse_address(self, fault: Fault) -> None:
        """Crash an engine, reassign its address and replace it at another address."""
        engine_id = fault.choose_target(self._site.list_linked_engines())
        service = self._site.engine_services[engine_id]
        await self._site.crash_engine(engine_id)
        if engine_id not in self._site.engines:
            return
        self._reused_addresses += 1
        new_id = f"{engine_id}-{self._reused_addresses}"
        await self._site.reuse_address(engine_id, f"{new_id}-stranger")
        await self._site.add_engine(new_id, service)

    async def _drain_engine(self, fault: Fault) -> None:
        engine_id = fault.choose_target(self._site.list_linked_engines())
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
        self.partitions.append((span, affected))

    async def _release(self, fault: Fault) -> None:
        """Replace engines of the pool, one after the other, by others of another version."""
        version = RELEASE_VERSIONS[int(fault.variant * len(RELEASE_VERSIONS))]
        names = sorted(
            name
            for name, engine in self._site.engines.items()
            if self._site.engine_services[name] == "pool" and engine.version != version
        )
        first = int(fault.target * len(names))
        replaced = (names[first:] + names[:first])[:RELEASED_ENGINES]
        async with asyncio.TaskGroup() as tasks:
            for name in replaced:
                tasks.create_task(self._replace_by_release(name, version))
                await asyncio.sleep(fault.duration_s)

    async def _replace_by_release(self, engine_id: str, version: str) -> None:
        """Start an engine beside another one, which then leaves, serves on for a while and ends."""
        self._released_engines += 1
        new_id = f"{engine_id.partition('.')[0]}.{self._released_engines}"
        await self._site.add_engine(new_id, "pool", version=version)
        if engine_id not in self._site.links:
            return
        self._site.leaving.add(engine_id)
        self._site.list_engine_link(engine_id)
        drain_started_at = time.monotonic()
        await asyncio.sleep(RELEASE_DRAIN_S)
        span = Span(started_at=drain_started_at, ended_at=time.monotonic())
        self._site.drains.setdefault(engine_id, []).append(span)
        await self._site.retire_engine(engine_id)

"""Site of a soak run: instances, engines, services and the store, behind faulty links."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from guavamast.platform.request_headers import PROMPT_PARTS, parse_prompt_parts
from guavamast.platform.standins.answer_body import WHOLE
from guavamast.platform.standins.engine import DEFAULT_VERSION, EngineFault
from guavamast.platform.standins.prefill_batch import PrefillBatch
from guavamast.platform.standins.site import KEY, MODELS, Site
from soak.departures import DepartureRecord, find_run_ends
from soak.guarantees import RunRecord, Span
from soak.instances import Instance
from soak.lethal import LETHAL_BODY, LETHAL_TARGET
from soak.proxy import LinkProxy
from soak.slow_readers import MEMORY_MB, prepare_engine

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavamast.platform.standins.engine import EngineStandIn, Run

ENGINE_WORK_S: Final = 0.03
"""Time that an engine takes before a response, so that faults affect running requests."""
MODEL_SLOTS: Final = 8
"""Requests that an engine of the service of models runs at a time."""
PREFILL_TOKENS_PER_S: Final = 3_000.0
"""Prompt tokens that it prefills in a second: few, so that long prompts take long."""
IDLE_TIMEOUT_S: Final = 10.0
"""Time for which the last streams of an engine that has left are awaited."""
IDLE_CHECK_INTERVAL_S: Final = 0.05
KEYS: Final = {
    "bakery": KEY,
    "florist": "florist-key",
    "revocable-1": "key-1",
    "revocable-2": "key-2",
}
"""Keys by organisation; those of the revocable organisations may be revoked."""


class SoakSite(Site):
    """Site whose engines and store are reached through proxies.

    Args:
        directory: Directory for settings and logs.
    """

    def __init__(self, *, directory: str) -> None:
        super().__init__()
        self.instances: list[Instance] = []
        self.links: dict[str, LinkProxy] = {}
        """Links to the engines, by engine id."""
        self.engine_services: dict[str, str] = {}
        """Services of the engines, by engine id."""
        self.replaced_engines: list[tuple[str, EngineStandIn]] = []
        """Engines that have been replaced, with their ids."""
        self.revoked: dict[str, float] = {}
        self.drains: dict[str, list[Span]] = {}
        self.other_keys = {name: key for name, key in KEYS.items() if name != "bakery"}
        self.leaving: set[str] = set()
        """Engines that are being replaced, and are never listed as ready again."""
        self.listed_ready: set[str] = set()
        """Engines that are listed as ready."""
        self.has_slow_readers = False
        """Whether engines send large responses to slow readers, and instances state memory."""
        self.stream_durations: dict[str, float] = {}
        """Seconds that the streams of some requests last, by request id."""
        self._built_engines = 0
        self._retired_links: list[LinkProxy] = []
        self._directory = directory

    def build_engine(
        self, engine_id: str, service: str, *, version: str = DEFAULT_VERSION
    ) -> EngineStandIn:
        """Return an engine, and remember its service before a concurrent fault looks for it."""
        self.engine_services[engine_id] = service
        engine = super().build_engine(engine_id, service, version=version)
        engine.stream_durations = self.stream_durations
        if service == MODELS:
            engine.batch = PrefillBatch(slots=MODEL_SLOTS, tokens_per_s=PREFILL_TOKENS_PER_S)
        elif self.has_slow_readers:
            prepare_engine(engine, self._built_engines)
            self._built_engines += 1
        return engine

    async def add_engine(
        self, engine_id: str, service: str, *, version: str = DEFAULT_VERSION
    ) -> EngineStandIn:
        """Start an engine behind a link and list the link's address."""
        engine = await super().add_engine(engine_id, service, version=version)
        engine.processing_s = ENGINE_WORK_S
        link = LinkProxy(target_port=engine.port)
        self.links[engine_id] = link
        await link.start()
        self.list_engine_link(engine_id)
        return engine

    def list_linked_engines(self) -> list[str]:
        """Return the ids of the engines that faults may affect.

        An engine that a concurrent fault starts has no link yet: a fault that chose it would fail,
        and end the run with all its seeds.
        """
        return sorted(self.engines.keys() & self.links.keys())

    def list_engine_link(self, engine_id: str, *, state: str = "ready") -> None:
        """Write an engine's row to the store, with the address of its link."""
        if engine_id in self.leaving:
            state = "draining"
        if state == "ready":
            self.listed_ready.add(engine_id)
        else:
            self.listed_ready.discard(engine_id)
        self.register_engine(
            engine_id, self.engine_services[engine_id], self.links[engine_id].port, state=state
        )

    async def restart_engine(self, engine_id: str, *, version: str | None = None) -> None:
        """Start a new engine with the id and address of another, but none of its state.

        Args:
            engine_id: Id of the engine.
            version: Software version of the new one; that of the other one if not given.
        """
        service = self.engine_services[engine_id]
        await self._replace_engine(engine_id, engine_id, service, version=version)
        self.list_engine_link(engine_id)

    async def reuse_address(self, engine_id: str, new_id: str) -> None:
        """Reassign the address of a stopped engine to a new engine of the other service."""
        service = "portal" if self.engine_services[engine_id] == "pool" else "pool"
        await self._replace_engine(engine_id, new_id, service)
        self.links[new_id] = self.links.pop(engine_id)
        self.engine_services[new_id] = service
        self.unlist_engine(engine_id)
        self.list_engine_link(new_id)

    def unlist_engine(self, engine_id: str) -> None:
        """Remove an engine's row from the store."""
        self.listed_ready.discard(engine_id)
        self.store.drop("servers", engine_id)

    async def retire_engine(self, engine_id: str) -> None:
        """End an engine that has left, unless another fault has replaced it meanwhile.

        The streams that it still sends are awaited: no instance could keep those from being cut.
        """
        await self._wait_until_idle(engine_id)
        engine = self.engines.pop(engine_id, None)
        if engine is None:
            return
        self.replaced_engines.append((engine_id, engine))
        self.unlist_engine(engine_id)
        link = self.links.pop(engine_id)
        link.stop_listening()
        self._retired_links.append(link)
        await engine.stop()

    async def _wait_until_idle(self, engine_id: str) -> None:
        until = time.monotonic() + IDLE_TIMEOUT_S
        while time.monotonic() < until:
            engine = self.engines.get(engine_id)
            if engine is None or not engine.running:
                return
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)

    def count_serving(self, version: str) -> int:
        """Return the number of the pool's engines of a software version that serve."""
        return sum(
            engine.version == version
            and name in self.listed_ready
            and self.engine_services[name] == "pool"
            and engine.fault is EngineFault.NONE
            and engine.ending is WHOLE
            and self.links[name].is_sound
            for name, engine in self.engines.items()
        )

    async def crash_engine(self, engine_id: str) -> None:
        """Stop an engine and close its connections."""
        self.links[engine_id].stop_listening()
        await self.engines[engine_id].stop()

    async def add_instance(self, name: str) -> None:
        """Start an instance with its own link to the store."""
        settings = self.build_settings(name)
        link = LinkProxy(target_port=self.store_port)
        await link.start()
        settings["platform"]["address"] = f"127.0.0.1:{link.port}"
        if self.has_slow_readers:
            settings["contracts"] = ["pressure"]
            settings["limits"] = {"memory_mb": MEMORY_MB}
        instance = Instance(settings=settings, directory=self._directory, store_link=link)
        self.instances.append(instance)
        await instance.start()

    async def stop(self) -> None:
        """Stop instances, stand-ins and links.

        If an instance can't be stopped, the rest of the site is stopped before the error is raised.
        Otherwise the other instances would keep running without their site, and query the store at
        ports that a later run has assigned to its engines.
        """
        stops = [instance.stop() for instance in self.instances]
        results = await asyncio.gather(*stops, return_exceptions=True)
        await super().stop()
        store_links = [instance.store_link for instance in self.instances]
        for link in [*self.links.values(), *self._retired_links, *store_links]:
            await link.stop()
        failures = [result for result in results if isinstance(result, Exception)]
        if failures:
            raise ExceptionGroup("instances that could not be stopped", failures)

    def revoke(self, organisation: str) -> None:
        """Revoke an organisation's key."""
        self.other_keys.pop(organisation, None)
        self.publish_configuration()
        self.revoked.setdefault(organisation, time.monotonic())

    def list_runs(self) -> list[RunRecord]:
        """Return all runs of all engines, including the replaced ones."""
        return [
            _describe_run(run, engine_id, lethal_parts=self.lethal.parts)
            for engine_id, engine in self._list_engines()
            for run in engine.runs
        ]

    def build_departures(self) -> DepartureRecord:
        """Return what is known of the stops of all instances."""
        return DepartureRecord(
            signals={one.caller_address: one.signals for one in self.instances},
            grace_s=float(self.bounds["grace_s"]),
            run_ends=find_run_ends(engine for _, engine in self._list_engines()),
        )

    def _list_engines(self) -> list[tuple[str, EngineStandIn]]:
        """Return all engines of the run with their ids."""
        crashed = [(engine.engine_id, engine) for engine in self.crashed_engines]
        return [*self.engines.items(), *self.replaced_engines, *crashed]

    def find_instance_failures(self) -> list[str]:
        """Return unexpected exits and logged errors of all instances."""
        failures = []
        for instance in self.instances:
            failures += instance.unexpected_exits + instance.find_logged_errors()
        return failures

    def _schedule_restart(self, engine: EngineStandIn, service: str) -> None:
        """Replace an engine that has ended by itself; until then its link refuses connections."""
        self.links[engine.engine_id].stop_listening()
        super()._schedule_restart(engine, service)

    async def register_successor(
        self, successor: EngineStandIn, service: str, *, predecessor: EngineStandIn
    ) -> None:
        """List an engine that has replaced one that has ended, behind the same link."""
        del service
        link = self.links.pop(predecessor.engine_id)
        link.target_port = successor.port
        await link.start()
        self.links[successor.engine_id] = link
        self.list_engine_link(successor.engine_id)

    async def _replace_engine(
        self, old_id: str, new_id: str, service: str, *, version: str | None = None
    ) -> None:
        old = self.engines.pop(old_id)
        self.replaced_engines.append((old_id, old))
        engine = self.build_engine(new_id, service, version=version or old.version)
        engine.processing_s = ENGINE_WORK_S
        self.links[old_id].target_port = await engine.listen()
        await self.links[old_id].start()
        # Added only once it listens, as a concurrent fault may stop any engine found here.
        self.engines[new_id] = engine


def _describe_run(run: Run, engine_id: str, *, lethal_parts: Collection[str]) -> RunRecord:
    parts = parse_prompt_parts(run.headers.get(PROMPT_PARTS.lower()))
    lethal_part = next((one.part_id for one in parts[:-1] if one.part_id in lethal_parts), None)
    lethal = run.body == LETHAL_BODY
    expected = b"" if "/lookup/" in run.target else run.request_id.encode()
    target = LETHAL_TARGET if lethal else "/" + run.request_id
    intact = (
        run.target.endswith(target)
        and (lethal or run.body == expected)
        and "authorization" not in run.headers
    )
    return RunRecord(
        request_id=run.request_id,
        engine=engine_id,
        organisation=run.tenant,
        started_at=run.began,
        lethal=lethal or lethal_part is not None,
        lethal_part=lethal_part,
        unmodified=intact,
    )

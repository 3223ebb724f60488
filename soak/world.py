"""A site with links that can be disturbed: instances, engines, services and the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import KEY, Site
from soak.instances import Instance
from soak.promises import Ran, Span
from soak.proxy import LinkProxy

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import EngineStandIn, Run

ENGINE_WORK_S: Final = 0.03
"""Time that an engine takes before an answer, so that faults meet requests at work."""
KEYS: Final = {
    "bakery": KEY,
    "florist": "florist-key",
    "revocable-1": "key-1",
    "revocable-2": "key-2",
}
"""Keys by organisation; those of the revocable ones may be taken away."""


class World(Site):
    """A site whose engines and store are reached over proxies.

    Args:
        directory: Where settings and logs are written.
    """

    def __init__(self, *, directory: str) -> None:
        super().__init__()
        self.instances: list[Instance] = []
        self.links: dict[str, LinkProxy] = {}
        """Links to the engines, by their ids."""
        self.services: dict[str, str] = {}
        """Services of the engines, by their ids."""
        self.ended: list[tuple[str, EngineStandIn]] = []
        """Engines that have been replaced, with their ids."""
        self.revoked: dict[str, float] = {}
        self.drains: dict[str, list[Span]] = {}
        self.other_keys = {name: key for name, key in KEYS.items() if name != "bakery"}
        self._directory = directory

    async def add_engine(self, engine_id: str, service: str) -> EngineStandIn:
        """Start an engine behind a link and list the link's address."""
        engine = await super().add_engine(engine_id, service)
        engine.processing_s = ENGINE_WORK_S
        link = LinkProxy(target_port=engine.port)
        self.links[engine_id] = link
        self.services[engine_id] = service
        await link.start()
        self.list_at_link(engine_id)
        return engine

    def list_at_link(self, engine_id: str, *, state: str = "ready") -> None:
        """Write an engine's row with the address of its link."""
        self.register_engine(
            engine_id, self.services[engine_id], self.links[engine_id].port, state=state
        )

    async def restart_engine(self, engine_id: str) -> None:
        """Start an engine anew under its id and address; it knows nothing of before."""
        await self._replace_engine(engine_id, engine_id, self.services[engine_id])
        self.list_at_link(engine_id)

    async def reuse_address(self, engine_id: str, new_id: str) -> None:
        """Give the address of an engine that is gone to one of the other service."""
        service = "portal" if self.services[engine_id] == "pool" else "pool"
        await self._replace_engine(engine_id, new_id, service)
        self.links[new_id] = self.links.pop(engine_id)
        self.services[new_id] = service
        self.drop_engine(engine_id)
        self.list_at_link(new_id)

    def drop_engine(self, engine_id: str) -> None:
        """Remove an engine's row."""
        self.store.drop("servers", engine_id)

    async def crash_engine(self, engine_id: str) -> None:
        """End an engine; its connections are reset."""
        await self.engines[engine_id].stop()

    async def add_instance(self, name: str) -> None:
        """Start an instance with a link of its own to the store."""
        settings = self.build_settings(name)
        link = LinkProxy(target_port=self.store_port)
        await link.start()
        settings["platform"]["address"] = f"127.0.0.1:{link.port}"
        instance = Instance(settings=settings, directory=self._directory, store_link=link)
        self.instances.append(instance)
        await instance.start()

    async def stop(self) -> None:
        """Stop instances, stand-ins and links.

        Failure: one instance can't be stopped, the others go on without their site, and ask ports
        for the store that the engines of a later run have been given.
        """
        ends = [instance.stop() for instance in self.instances]
        results = await asyncio.gather(*ends, return_exceptions=True)
        await super().stop()
        for link in [*self.links.values(), *(one.store_link for one in self.instances)]:
            await link.stop()
        failures = [result for result in results if isinstance(result, Exception)]
        if failures:
            raise ExceptionGroup("instances that could not be stopped", failures)

    def revoke(self, organisation: str) -> None:
        """Take an organisation's key away."""
        self.other_keys.pop(organisation, None)
        self.publish_configuration()
        self.revoked.setdefault(organisation, time.monotonic())

    def list_runs(self) -> list[Ran]:
        """Return all runs of all engines."""
        return [
            _describe_run(run, engine_id)
            for engine_id, engine in [*self.engines.items(), *self.ended]
            for run in engine.runs
        ]

    def find_surprises(self) -> list[str]:
        """Return what instances did that nobody had asked for."""
        found = []
        for instance in self.instances:
            found += instance.surprises + instance.find_faults()
        return found

    async def _replace_engine(self, old_id: str, new_id: str, service: str) -> None:
        old = self.engines.pop(old_id)
        self.ended.append((old_id, old))
        engine = type(old)(engine_id=new_id)
        engine.processing_s = ENGINE_WORK_S
        self.links[old_id].target_port = await engine.listen()
        # Only now, as another fault may end whatever engine it finds here.
        self.engines[new_id] = engine
        self.services[old_id if old_id == new_id else new_id] = service


def _describe_run(run: Run, engine_id: str) -> Ran:
    expected = b"" if "/lookup/" in run.target else run.request_id.encode()
    intact = (
        run.target.endswith("/" + run.request_id)
        and run.body == expected
        and "authorization" not in run.headers
    )
    return Ran(
        request_id=run.request_id,
        engine=engine_id,
        organisation=run.tenant,
        began=run.began,
        intact=intact,
    )

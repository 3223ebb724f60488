"""A small site on loopback: a store with a configuration, engines and services."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from guavamast.platform.standins.engine import DEFAULT_VERSION, EngineStandIn
from guavamast.platform.standins.lethal_requests import LethalRequests
from guavamast.platform.standins.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.platform.standins.provider import ProviderStandIn

HOST = "portal.example"
KEY = "site-caller-key"
CALL_PREFIX = "/call/"
"""Path prefix of non-idempotent calls."""
LOOKUP_PREFIX = "/lookup/"
"""Path prefix of idempotent calls."""
STREAM_PREFIX = "/stream/"
"""Path prefix of streams that can't be resumed."""
RESUMABLE_PREFIX = "/resumable/stream/"
"""Path prefix of streams that can be resumed."""
MODELS = "models"
"""Service of the routes that differ in urgency."""
MODEL_KV_TOKENS = 400_000
"""Tokens that fit into the memory of one of its engines."""
DUTY_LEASE_MS = 3000
"""Milliseconds in which duties must not pass to another instance and back."""
DUTY_WINDOW_S = 2
"""Seconds of a usage window."""
CRASH_RESTART_S = 0.6
"""Seconds after which another engine starts at the address of one that a request has ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRoute:
    """A streaming route of the service of models."""

    name: str
    urgency: int
    objective_ms: int
    timeout_ms: int
    resumable: bool = False

    @property
    def path_prefix(self) -> str:
        """The path prefix of its requests."""
        return f"/models/{self.name}/stream/"

    def build_fields(self) -> dict[str, Any]:
        """Return the route as it stands in the configuration."""
        attempts = 2 if self.resumable else 1
        fields = _build_route(
            self.path_prefix, "streaming", MODELS, attempts, resumable=self.resumable
        )
        changes = {
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": self.objective_ms,
            "priority": self.urgency,
        }
        return fields | changes


class Site:
    """Stand-ins for all that an instance connects to, and the settings for instances."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.engines: dict[str, EngineStandIn] = {}
        self.store_port = 0
        self._version = 0
        self._reserved_sockets: list[socket.socket] = []
        self._restarts: set[asyncio.Task[None]] = set()
        self.crashed_engines: list[EngineStandIn] = []
        """Engines that have ended by themselves, in order."""
        self.lethal = LethalRequests()
        """Requests that end engines, wherever they run."""
        self.crash_restart_s = CRASH_RESTART_S
        """Seconds until another engine replaces one that has ended by itself."""
        self.slots = 8
        """Slots that the rows of engines state."""
        self.send_buffer_bytes: int | None = None
        """Send buffer of the connections of engines; None for that of the system."""
        self.memory_mb: int | None = None
        """Memory of an instance in its settings; None if they don't state it."""
        self.max_body_bytes = 8192
        """Bytes of a caller's request body at most."""
        self.idle_timeout_ms = 5000
        """Timeout of callers' idle connections in the configuration."""
        self.keys = [KEY]
        self.other_keys: dict[str, str] = {}
        """Keys of further organisations by name."""
        self.route_services = {
            CALL_PREFIX: "portal",
            LOOKUP_PREFIX: "portal",
            STREAM_PREFIX: "pool",
            RESUMABLE_PREFIX: "pool",
        }
        """Service of each route by path prefix."""
        self.max_attempts = 2
        """Engines to which a request that may be repeated may be sent."""
        self.route_weights: dict[str, dict[str, float]] = {}
        """Weights of the services of each route that has several, by path prefix."""
        self.model_routes: tuple[ModelRoute, ...] = ()
        """Routes of the service of models, which has its own engines."""
        self.provider: ProviderStandIn | None = None
        """Receives usage reports and orders for engines; None if instances have no such duties."""
        self.provider_port = 0
        self.scaling: dict[str, Any] | None = None
        """Bounds of the engines of the pool that can be ordered; None if none can be."""
        self.bounds: dict[str, Any] = {
            "strict_revocation": True,
            "revoke_ms": 2000,
            "config_apply_ms": 2000,
            "drain_ms": 2000,
            "grace_s": 4,
            "retry_budget_ratio": 0.2,
            "budget_slack": 20,
            "budget_window_s": 10,
        }
        """Bounds in the settings of instances."""

    async def start(
        self,
        *,
        pool: int = 2,
        portal: int = 2,
        pool_versions: Sequence[str] = (DEFAULT_VERSION,),
    ) -> None:
        """Start the store and the engines of each service.

        Args:
            pool: Number of engines of the pool.
            portal: Number of engines of the portal.
            pool_versions: Software versions of the engines of the pool, in turn.
        """
        self.store_port = self.store.listen()
        if self.provider is not None:
            self.provider_port = self.provider.listen()
        self.publish_configuration()
        for number in range(pool):
            version = pool_versions[number % len(pool_versions)]
            await self.add_engine(f"pool-{number}", "pool", version=version)
        for number in range(portal):
            await self.add_engine(f"portal-{number}", "portal")

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for restart in self._restarts:
            restart.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        for engine in self.engines.values():
            await engine.stop()
        self.store.stop()
        if self.provider is not None:
            self.provider.stop()
        for reserved in self._reserved_sockets:
            reserved.close()

    async def add_engine(
        self, engine_id: str, service: str, *, version: str = DEFAULT_VERSION
    ) -> EngineStandIn:
        """Start an engine and write its row."""
        engine = self.build_engine(engine_id, service, version=version)
        port = await engine.listen()
        self.engines[engine_id] = engine
        self.register_engine(engine_id, service, port)
        return engine

    def build_engine(
        self, engine_id: str, service: str, *, version: str = DEFAULT_VERSION
    ) -> EngineStandIn:
        """Return an engine that is replaced when it has ended by itself."""
        engine = EngineStandIn(engine_id=engine_id, version=version)
        engine.lethal = self.lethal
        engine.send_buffer_bytes = self.send_buffer_bytes
        engine.on_crash = lambda: self._schedule_restart(engine, service)
        return engine

    def _schedule_restart(self, engine: EngineStandIn, service: str) -> None:
        self.crashed_engines.append(engine)
        reserved = reserve_port(engine.port)
        restart = asyncio.ensure_future(self._restart_crashed(engine, service))
        restart.add_done_callback(lambda _: reserved.close())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_crashed(self, engine: EngineStandIn, service: str) -> None:
        """Start an engine with a new id at the address of one that has ended by itself."""
        port = engine.port
        del self.engines[engine.engine_id]
        await asyncio.sleep(self.crash_restart_s)
        self.store.drop("servers", engine.engine_id)
        name = engine.engine_id.partition("+")[0]
        successor = self.build_engine(
            f"{name}+{len(self.crashed_engines)}", service, version=engine.version
        )
        successor.slots = engine.slots
        successor.processing_s = engine.processing_s
        successor.rejection_limit = engine.rejection_limit
        await successor.listen(port)
        self.engines[successor.engine_id] = successor
        await self.register_successor(successor, service, predecessor=engine)

    async def register_successor(
        self, successor: EngineStandIn, service: str, *, predecessor: EngineStandIn
    ) -> None:
        """Write the row of an engine that has replaced one that has ended by itself."""
        del predecessor
        self.register_engine(successor.engine_id, service, successor.port)

    def register_engine(
        self, engine_id: str, service: str, port: int, *, state: str = "ready"
    ) -> None:
        """Write an engine's row to the store."""
        fields = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "slots": self.slots,
            "state": state,
            "seq": 1,
            "born": self.engines[engine_id].born_ms if engine_id in self.engines else None,
            "cold_left_ms": 0,
            "version": (
                self.engines[engine_id].version if engine_id in self.engines else DEFAULT_VERSION
            ),
        }
        self.store.put("servers", engine_id, fields)

    def publish_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        routes = [
            _build_route(CALL_PREFIX, "non_idempotent", self.route_services[CALL_PREFIX], 2),
            _build_route(
                LOOKUP_PREFIX,
                "idempotent",
                self.route_services[LOOKUP_PREFIX],
                self.max_attempts,
            ),
            _build_route(STREAM_PREFIX, "streaming", self.route_services[STREAM_PREFIX], 1),
            _build_route(
                RESUMABLE_PREFIX,
                "streaming",
                self.route_services[RESUMABLE_PREFIX],
                self.max_attempts,
                resumable=True,
            ),
        ]
        routes += [one.build_fields() for one in self.model_routes]
        for route in routes:
            weights = self.route_weights.get(route["path_prefix"])
            if weights:
                route["split"] = [
                    {"service": service, "weight": weight} for service, weight in weights.items()
                ]
        services = [
            {
                "name": "pool",
                "max_connections": 100,
                "engine": {"kv_capacity_tokens": 100_000},
                "scaling": self.scaling,
            },
            {"name": "portal", "max_connections": 100},
        ]
        if self.model_routes:
            engine = {"kv_capacity_tokens": MODEL_KV_TOKENS}
            services.append({"name": MODELS, "max_connections": 200, "engine": engine})
        limits = {
            "max_header_bytes": 4096,
            "max_body_bytes": self.max_body_bytes,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": self.idle_timeout_ms,
        }
        fields: dict[str, Any] = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": self._list_organisations(),
        }
        self.store.put("op", "config", fields)

    def _list_organisations(self) -> list[dict[str, Any]]:
        first = {"name": "bakery", "api_keys": list(self.keys), "priority": 1}
        more = [
            {"name": name, "api_keys": [key], "priority": 1}
            for name, key in self.other_keys.items()
        ]
        return [first, *more]

    def build_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an instance, with ports that stay reserved for it."""
        sockets = [*(reserve_port() for _ in range(3)), *_reserve_pair()]
        self._reserved_sockets += sockets
        ports = [int(reserved.getsockname()[1]) for reserved in sockets]
        settings: dict[str, Any] = {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "readiness": f"127.0.0.1:{ports[1]}",
                "directory": f"127.0.0.1:{ports[2]}",
            },
            "internal_ports": ports[3:],
            "bounds": dict(self.bounds),
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
        }
        if self.memory_mb is not None:
            settings["limits"] = {"memory_mb": self.memory_mb}
        if self.provider is not None:
            settings["cloud"] = {
                "address": f"127.0.0.1:{self.provider_port}",
                "duties": ["usage_report", "autoscale"],
                "duty_per_s": 50,
            }
            settings["bounds"].update(
                enforce_fencing=self.provider.fenced,
                lease_ms=DUTY_LEASE_MS,
                thaw_slack_ms=300,
                report_window_s=DUTY_WINDOW_S,
                usage_late_s=10,
            )
        return settings


def write_settings(fields: dict[str, Any], directory: str) -> str:
    """Write a settings file and return its path."""
    path = os.path.join(directory, f"{fields['node_name']}.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(fields, file)
    return path


def reserve_port(port: int = 0) -> socket.socket:
    """Return a socket that is bound and never listens, so that a listener may share its port.

    Without it, the port of an instance that restarts could be assigned to an outgoing connection.
    The system chooses no port that is bound, and Linux lets a listener share it when both sockets
    allow the reuse of addresses.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
    return reserved


def _reserve_pair() -> list[socket.socket]:
    """Return the sockets of two consecutive ports."""
    while True:
        first = reserve_port()
        try:
            return [first, reserve_port(first.getsockname()[1] + 1)]
        except (OSError, OverflowError):
            first.close()


def _build_route(
    prefix: str, kind: str, service: str, attempts: int, *, resumable: bool = False
) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 30000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": attempts,
        "resumable": resumable,
    }

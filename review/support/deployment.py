"""A small deployment on loopback: a store, a configuration, and instances as processes.

Names, bounds, limits of machines, and the figures of routes are those of the sheet of awpme-primes.
"""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
import tempfile
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from guavamast.platform.standins.site import Site, write_settings
from support.clients import exchange

if TYPE_CHECKING:
    from support.record import Record

ROOT = Path(__file__).resolve().parents[2]
HOST = "primes.example"
TENANT = "ateliers"
KEY = "k4x7q2m9t1"
STABLE_WINDOW_S = 3.0
RESTART_DELAY_S = 1.0
"""Seconds after which the platform starts a process again that has ended."""
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "partition_stretch_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 108,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpu_share": 0.731,
    "cores": 1,
    "memory_mb": 222,
    "max_fds": 1535,
    "link_mbps": 350.0,
    "disk_mb": 0,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
]
ZONES = ["namur-a", "namur-b", "liege-a", "charleroi-a"]
ROUTES = [
    # name, kind, service, timeout_ms, target_latency_ms, target_gap_ms, attempts, priority
    ("dossier-review", "streaming", "guavamast-pool", 15000, 2001, 800, 1, 2),
    ("applicant-reply", "streaming", "guavamast-pool", 12000, 300, 200, 2, 0),
    ("eligibility-check", "streaming", "guavamast-pool", 3000, 400, 300, 1, 1),
    ("grant-payout", "non_idempotent", "primes-portal", 800, 400, None, 1, 2),
    ("claim-status", "idempotent", "primes-portal", 800, 400, None, 2, 2),
]
RESUMABLE = "applicant-reply"


def build_configuration(version: int) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    routes = []
    for name, kind, service, timeout_ms, aim_ms, gap_ms, attempts, priority in ROUTES:
        route: dict[str, Any] = {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": timeout_ms,
            "target_latency_ms": aim_ms,
            "max_attempts": attempts,
            "priority": priority,
        }
        if kind == "streaming":
            route |= {"target_gap_ms": gap_ms, "sticky": True, "resumable": name == RESUMABLE}
        routes.append(route)
    engine = {"kv_capacity_tokens": 611_372, "kv_token_bytes": 35_136}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "guavamast-pool",
                "health_path": "/health",
                "max_connections": 720,
                "engine": engine,
            },
            {"name": "primes-portal", "health_path": "/health", "max_connections": 200},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


class Instance:
    """One machine: a process of the deploy file, which the platform starts again when it ends."""

    def __init__(self, name: str, settings: dict[str, Any], folder: str, record: Record) -> None:
        self.name = name
        self.settings = settings
        self.own_ends = 0
        """How often a process has ended by itself."""
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._stopping = False

    @property
    def front(self) -> str:
        """Address for clients."""
        return str(self.settings["listen"]["front"])

    @property
    def pid(self) -> int:
        """Id of the present process."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process, and start it again a moment after each end."""
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables |= {"LANG": "C.UTF-8", "PYTHONPATH": str(ROOT / "target" / "deps")}
        variables["GUAVAMAST_SETTINGS"] = write_settings(self.settings, self._folder)
        log_path = Path(self._folder) / f"{self.name}.log"
        while not self._stopping:
            with log_path.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=variables, stdout=log, stderr=log
                )
            status = await self._process.wait()
            if self._stopping:
                return
            self.own_ends += 1
            reason = _find_error(log_path.read_text(errors="replace"))
            self._record.write(f"{self.name}: its process ended by itself, status {status}{reason}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def read_readiness(self) -> int:
        """Return the status of the readiness check; 0 without an answer."""
        answer = await exchange(self.settings["listen"]["readiness"], "GET", "/v1/ready", [], b"")
        return answer.status

    async def wait_ready(self, *, timeout_s: float = 20.0) -> bool:
        """Return whether the instance becomes ready in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while await self.read_readiness() != 200:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """Kill the process for good."""
        self._stopping = True
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._keeper is not None:
            await self._keeper


def _find_error(log: str) -> str:
    """Return the last error that a process has written, after a colon; empty without one."""
    errors = [line.strip(" |") for line in log.splitlines() if re.match(r"[ |]*\w+Error: ", line)]
    return f": {errors[-1][:120]}" if errors else ""


class Deployment:
    """The store, the configuration and the instances."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._site = Site()
        self._folder = tempfile.mkdtemp(prefix="review-")
        self.instances: list[Instance] = []
        self._config_version = 4

    def start_store(self) -> None:
        """Start the store with a first configuration."""
        self._site.store_port = self._site.store.listen()
        self._site.store.put("op", "config", build_configuration(self._config_version))

    @property
    def store_address(self) -> str:
        """The store's address."""
        return f"127.0.0.1:{self._site.store_port}"

    def register_engine(
        self, engine_id: str, service: str, port: int, *, state: str = "ready", **more: Any
    ) -> None:
        """Write an engine's entry, as the engine does."""
        fields = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "namur-a",
            "version": "v1",
            "slots": 64 if service == "guavamast-pool" else 6,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1_780_000_000_000,
        }
        self._site.store.put("servers", engine_id, fields | more)

    def remove_engine(self, engine_id: str) -> None:
        """Remove an engine's entry."""
        self._site.store.drop("servers", engine_id)

    async def start_instances(self, count: int) -> bool:
        """Start instances at the same time; return whether all become ready."""
        for number in range(count):
            name = f"front-{ZONES[number % len(ZONES)]}-{1 + number // len(ZONES)}"
            settings = self._site.build_settings(name)
            settings |= {
                "role": "node",
                "machine_class": "front",
                "serves": ["front", "directory"],
                "zone": ZONES[number % len(ZONES)],
                "region": "be-wallonie",
                "zones": dict.fromkeys(ZONES, "be-wallonie"),
                "bootstrap": True,
                "limits": LIMITS,
                "contracts": CONTRACTS,
                "heartbeat_ms": 1200,
                "bounds": BOUNDS,
                "platform": {
                    "address": self.store_address,
                    "form": "table",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "transaction_ms": 5.0,
                    "row_bytes": 65536,
                    "history_s": 20,
                },
            }
            instance = Instance(name, settings, self._folder, self._record)
            instance.start()
            self.instances.append(instance)
        ready = await asyncio.gather(*(one.wait_ready() for one in self.instances))
        for one, is_ready in zip(self.instances, ready, strict=True):
            self._record.write(f"{one.name} at {one.front}: {'ready' if is_ready else 'NOT READY'}")
        return all(ready)

    def read_log(self, name: str) -> str:
        """Return what an instance has written."""
        return (Path(self._folder) / f"{name}.log").read_text(errors="replace")

    async def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        await asyncio.gather(*(one.stop() for one in self.instances))
        self._site.store.stop()
        await asyncio.sleep(0.1)  # Connections that were closed just now end.
        shutil.rmtree(self._folder, ignore_errors=True)

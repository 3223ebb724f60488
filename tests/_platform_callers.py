"""Caller connections and relay processes for end-to-end tests on the platform."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from soak.partitions import (
    PARTITION_ENV_VARIABLE,
    Partition,
    write_partition,
)

from guavamast.platform.standins.engine import DEFAULT_VERSION
from guavamast.platform.standins.site import HOST, KEY, Site, write_settings
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer

if TYPE_CHECKING:
    from soak.partitions import PartitionKind

    from guavamast.relay.messages import Header

READY_S = 20.0
"""Seconds for a process to start and become ready on a busy machine."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Caller:
    """A caller's connection."""

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection

    @classmethod
    async def open(cls, address: str) -> Caller:
        host, _, port = address.rpartition(":")
        return cls(await HttpConnection.open(host, int(port), timeout_s=5.0))

    async def send_request(
        self,
        target: str,
        *,
        request_id: str = "r1",
        key: str = KEY,
        body: bytes = b"",
        timeout_ms: int = 3000,
        extra_headers: tuple[Header, ...] = (),
    ) -> Reply:
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(timeout_ms)),
            *extra_headers,
        ]
        if body:
            headers.append(("Content-Length", str(len(body))))
        await self.connection.send("POST" if body else "GET", target, headers, body)
        head = await self.connection.read_head()
        received = b""
        complete = True
        try:
            while (chunk := await self.connection.read_chunk()) is not None:
                received += chunk
        except (ConnectionLost, MalformedAnswer):
            complete = False
        fields = {name.lower(): value for name, value in head.headers}
        return Reply(status=head.status, headers=fields, body=received, complete=complete)


class Instance:
    """One process of the relay."""

    def __init__(self, process: asyncio.subprocess.Process, listen: dict[str, str]) -> None:
        self.process = process
        self.callers = listen["front"]
        self.readiness = listen["readiness"]
        self.directory = listen["directory"]

    async def wait_ready(self) -> bool:
        """Return True when the process is ready, False when it has ended."""
        async with asyncio.timeout(READY_S):
            while await self.read_readiness() != 200:
                if self.process.returncode is not None:
                    return False
                await asyncio.sleep(0.05)
        return True

    async def read_readiness(self) -> int:
        try:
            caller = await Caller.open(self.readiness)
            reply = await caller.send_request("/v1/ready")
        except ConnectionLost:
            return 0
        caller.connection.close()
        return reply.status

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run instances as processes, beside a site of stand-ins."""

    pool_engines = 2
    portal_engines = 2
    pool_versions: tuple[str, ...] = (DEFAULT_VERSION,)
    """Software versions of the engines of the pool, in turn."""
    slots = 8
    """Slots that the rows of engines state."""
    idle_timeout_ms = 5000
    """Timeout of callers' idle connections."""
    entry_module = "guavamast.platform"
    """Module that each instance runs."""
    retry_slack = 20
    """Retries that all instances together may make beyond their share of requests."""

    async def asyncSetUp(self) -> None:
        self.settings: dict[str, dict[str, Any]] = {}
        """Settings of each instance by its address for callers."""
        self.site = Site()
        self.site.slots = self.slots
        self.site.idle_timeout_ms = self.idle_timeout_ms
        self.site.bounds["budget_slack"] = self.retry_slack
        self.prepare_site()
        await self.site.start(
            pool=self.pool_engines, portal=self.portal_engines, pool_versions=self.pool_versions
        )
        self.addAsyncCleanup(self.site.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def prepare_site(self) -> None:
        """Change the site before it starts."""

    async def start_instance(self, name: str = "one") -> Instance:
        """Start a process and wait until it is ready.

        The settings name fixed ports. If one is taken by the time the process binds it, the process
        ends and other ports are tried.
        """
        while True:
            settings = self.site.build_settings(name)
            process = await self.launch(settings)
            instance = self.build_instance(process, settings)
            if await instance.wait_ready():
                return instance
            assert process.stderr is not None
            errors = await process.stderr.read()
            self.assertIn(b"Address already in use", errors)

    def build_instance(
        self, process: asyncio.subprocess.Process, settings: dict[str, Any]
    ) -> Instance:
        """Return the instance of a process that was started with settings."""
        instance = Instance(process, settings["listen"])
        self.addAsyncCleanup(instance.stop)
        self.settings[instance.callers] = settings
        return instance

    async def start_instances(self, count: int) -> list[Instance]:
        """Start a number of processes at the same time and wait until all are ready."""
        names = [f"one-{number}" for number in range(count)]
        return await asyncio.gather(*map(self.start_instance, names))

    async def list_addresses(self, instance: Instance) -> str:
        """Return what an instance tells callers that ask which addresses to use."""
        caller = await Caller.open(instance.directory)
        response = await caller.send_request(f"/v1/resolve?name={HOST}&region=r&zone=a")
        caller.connection.close()
        return response.body.decode()

    async def launch(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.entry_module,
            env=os.environ | {"GUAVAMAST_SETTINGS": write_settings(settings, self.directory)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )


class PartitionableTestCase(PlatformTestCase):
    """Base of tests with instances whose connections to endpoints can be cut one by one."""

    instance_count = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instances = await self.start_instances(self.instance_count)

    async def launch(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        """Start a process whose connections follow a file."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.skewed",
            env=os.environ
            | {
                "GUAVAMAST_SETTINGS": write_settings(settings, self.directory),
                PARTITION_ENV_VARIABLE: str(self.find_partition_file(settings["node_name"])),
            },
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )

    def find_partition_file(self, name: str) -> Path:
        return Path(self.directory) / f"{name}.partition"

    def cut(self, kind: PartitionKind, numbers: list[int], *services: str) -> None:
        """Partition some instances from the engines of services, or of all."""
        ports = frozenset(
            engine.port
            for name, engine in self.site.engines.items()
            if not services or name.partition("-")[0] in services
        )
        self.cut_ports(kind, numbers, ports)

    def cut_ports(self, kind: PartitionKind, numbers: list[int], ports: frozenset[int]) -> None:
        """Partition some instances from ports."""
        for number in numbers:
            path = self.find_partition_file(f"one-{number}")
            write_partition(path, Partition(kind=kind, ports=ports))

    def heal(self, numbers: list[int]) -> None:
        for number in numbers:
            write_partition(self.find_partition_file(f"one-{number}"), None)

"""A complete small fleet in one process on loopback, for the demo and for tests."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from guavamast.dispatcher import Dispatcher
from guavamast.entry import Entry
from guavamast.settings import load_settings
from guavamast.standins.engine import EngineStandin
from guavamast.standins.platform import PlatformStandin
from guavamast.standins.service import ServiceStandin

if TYPE_CHECKING:
    from guavamast.settings import InstanceSettings

CALLER_KEY: Final = "demo-caller-key"
OPERATOR_NAME: Final = "operator"
OPERATOR_TOKEN: Final = "demo-operator-token"
READY_TIMEOUT_S: Final = 20.0

SETTINGS_TEXT: Final = """\
[instance]
name = {name}
failure_domain = {failure_domain}
region = local

[listen]
callers = 127.0.0.1:{caller_port}
peers = 127.0.0.1:{peer_port}

[platform]
tables = {platform}
objects = {platform}

[peers]
seeds = {seeds}

[operators]
token_file = {token_file}

[leaving]
drain_wait_s = 20
address_validity_s = 1
"""

FLEET_TEXT: Final = """\
[class drafting]
tier = 1
first_token_ms = 430
token_interval_ms = 26
completion_s = 30
guaranteed_share = 0.5
queue_limit = 200

[class summaries]
tier = 2
first_token_ms = 5000
token_interval_ms = 100
completion_s = 120
guaranteed_share = 0.1
queue_limit = 200

[organisation agency]
key_sha256 = {key_sha256}
requests_per_second = 1000
concurrent = 1000
classes = chat:drafting, overnight:summaries, approve:drafting, lookup:drafting

[model small]
version = 1

[call ledger.lookup]
idempotent = yes
timeout_s = 5

[call ledger.approve]
idempotent = no
timeout_s = 5
"""

ENGINE_TEXT: Final = """
[endpoint {name}]
kind = engine
url = {url}
failure_domain = {failure_domain}
models = small
slots = {slots}
fencing = checked
state = {state}
"""

SERVICE_TEXT: Final = """
[endpoint {name}]
kind = service
service = ledger
url = {url}
failure_domain = {failure_domain}
slots = {slots}
fencing = ignored
state = active
"""


def reserve_ports(count: int) -> list[int]:
    """Return ports that the OS reports as free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def build_fleet_text(
    *,
    engine_urls: list[str],
    service_urls: list[str],
    slots: int = 16,
    leaving: frozenset[str] = frozenset(),
) -> str:
    """Return the text of a fleet configuration.

    Args:
        engine_urls: One URL per engine; they are named ``engine-0`` and so on.
        service_urls: One URL per endpoint of the service ``ledger``.
        slots: Slots of each endpoint.
        leaving: Names of engines that are to leave.
    """
    parts = [FLEET_TEXT.format(key_sha256=hashlib.sha256(CALLER_KEY.encode()).hexdigest())]
    for number, url in enumerate(engine_urls):
        name = f"engine-{number}"
        state = "leaving" if name in leaving else "active"
        domain = f"domain-{number % 2}"
        parts.append(
            ENGINE_TEXT.format(name=name, url=url, failure_domain=domain, slots=slots, state=state)
        )
    for number, url in enumerate(service_urls):
        name = f"ledger-{number}"
        domain = f"domain-{number % 2}"
        parts.append(SERVICE_TEXT.format(name=name, url=url, failure_domain=domain, slots=slots))
    return "".join(parts)


def write_instance_settings(
    folder: Path, *, count: int, platform_url: str
) -> list[InstanceSettings]:
    """Write a settings file and the token file for each instance and load them."""
    token_file = folder / "operators"
    token_file.write_text(f"{OPERATOR_NAME} {OPERATOR_TOKEN}\n")
    ports = reserve_ports(2 * count)
    seeds = ", ".join(f"127.0.0.1:{port}" for port in ports[count:])
    settings = []
    for number in range(count):
        path = folder / f"instance-{number}.ini"
        text = SETTINGS_TEXT.format(
            name=f"instance-{number}",
            failure_domain=f"domain-{number % 2}",
            caller_port=ports[number],
            peer_port=ports[count + number],
            platform=platform_url,
            seeds=seeds,
            token_file=token_file,
        )
        path.write_text(text)
        settings.append(load_settings(path))
    return settings


class LocalFleet:
    """Stand-ins, dispatchers and entries on one event loop.

    Args:
        instances: Number of instances, each an entry and a dispatcher.
        engines: Number of stand-in engines.
        services: Number of endpoints of the stand-in service.
        slots: Slots of each endpoint.
        token_interval_s: Time between two tokens of an engine.
    """

    def __init__(
        self,
        *,
        instances: int = 1,
        engines: int = 2,
        services: int = 1,
        slots: int = 16,
        token_interval_s: float = 0.002,
    ) -> None:
        self.platform = PlatformStandin()
        self.engines = [EngineStandin(token_interval_s=token_interval_s) for _ in range(engines)]
        self.services = [ServiceStandin() for _ in range(services)]
        self.dispatchers: list[Dispatcher] = []
        self.entries: list[Entry] = []
        self.slots = slots
        self._instances = instances
        self._folder = tempfile.TemporaryDirectory(prefix="guavamast-")

    async def start(self) -> None:
        """Start all components; no configuration is in force yet."""
        self.platform.start()
        for standin in [*self.engines, *self.services]:
            standin.start()
        all_settings = write_instance_settings(
            Path(self._folder.name), count=self._instances, platform_url=self.platform.url
        )
        for settings in all_settings:
            dispatcher = Dispatcher(settings=settings)
            await dispatcher.start()
            self.dispatchers.append(dispatcher)
            entry = Entry(settings=settings)
            await entry.start()
            self.entries.append(entry)

    async def close(self) -> None:
        """Stop all components."""
        for entry in self.entries:
            await entry.close()
        for dispatcher in self.dispatchers:
            await dispatcher.close()
        for standin in [*self.engines, *self.services, self.platform]:
            standin.stop()
        self._folder.cleanup()

    @property
    def url(self) -> str:
        """URL of the first entry."""
        return f"http://{self.entries[0].address}"

    def build_text(self, *, leaving: frozenset[str] = frozenset()) -> str:
        """Return the text of this fleet's configuration."""
        return build_fleet_text(
            engine_urls=[engine.url for engine in self.engines],
            service_urls=[service.url for service in self.services],
            slots=self.slots,
            leaving=leaving,
        )

    async def wait_for_version(self, version: int) -> None:
        """Wait until every dispatcher and entry has at least that version in force.

        Raises:
            TimeoutError: It took longer than `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self._has_version(version):
            if time.monotonic() > deadline:
                raise TimeoutError(f"configuration {version} is not in force everywhere")
            await asyncio.sleep(0.01)

    def _has_version(self, version: int) -> bool:
        entries = all(e.state.configuration.version >= version for e in self.entries)
        return entries and all(d.configuration.version >= version for d in self.dispatchers)

"""Partition of one instance from endpoints, injected below the connections of its process.

A proxy can't refuse or hang the connects of one instance alone, as on loopback all instances
connect from the same address. The process of an instance therefore runs on an event loop that
follows a file, which the test writes.
"""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

PARTITION_ENV_VARIABLE: Final = "GUAVAMAST_SOAK_PARTITION"
"""Environment variable: path of the file that the loop of an instance follows."""
FOLLOW_INTERVAL_S: Final = 0.02
"""Seconds between two looks at the file."""


class PartitionKind(StrEnum):
    """What happens to connections to the ports of a partition."""

    HANG = "hang"
    """New connections hang, open ones are silent until the end of the partition."""
    REFUSE = "refuse"
    """New connections are refused, open ones are reset."""
    NEW_HANG = "new_hang"
    """New connections hang, open ones work."""
    NEW_REFUSED = "new_refused"
    """New connections are refused, open ones work."""

    @property
    def silences(self) -> bool:
        """Whether open connections carry nothing."""
        return self is PartitionKind.HANG

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused."""
        return self in (PartitionKind.REFUSE, PartitionKind.NEW_REFUSED)


@dataclass(frozen=True, slots=True, kw_only=True)
class Partition:
    """A partition in force."""

    kind: PartitionKind
    ports: frozenset[int]
    """Ports of the endpoints that are not reached."""


def write_partition(path: Path, partition: Partition | None) -> None:
    """Begin a partition of the instance that follows a file, or end it."""
    fields = None
    if partition is not None:
        fields = {"kind": partition.kind, "ports": sorted(partition.ports)}
    new = path.with_suffix(".new")
    new.write_text(json.dumps(fields))
    new.replace(path)


def read_partition(path: Path) -> Partition | None:
    """Return the partition that a file describes; None without one."""
    try:
        fields = json.loads(path.read_text())
    except FileNotFoundError:
        return None
    if fields is None:
        return None
    return Partition(kind=PartitionKind(fields["kind"]), ports=frozenset(fields["ports"]))


class _Silenceable(asyncio.Transport):
    """A transport that holds what is written while it is silenced."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._held = bytearray()
        self._wants_to_read = True
        self.silenced = False

    def silence(self) -> None:
        """Carry nothing from now on."""
        self.silenced = True
        self._transport.pause_reading()

    def restore(self) -> None:
        """Carry what was held and all that follows."""
        self.silenced = False
        held, self._held = bytes(self._held), bytearray()
        if held:
            self._transport.write(held)
        if self._wants_to_read:
            self._transport.resume_reading()

    def write(self, data: Any) -> None:
        if self.silenced:
            self._held += data
        else:
            self._transport.write(data)

    def get_write_buffer_size(self) -> int:
        return len(self._held) + self._transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        self._wants_to_read = False
        if not self.silenced:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._wants_to_read = True
        if not self.silenced:
            self._transport.resume_reading()

    def abort(self) -> None:
        self._transport.abort()

    def close(self) -> None:
        self._transport.close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)


class _Observed(asyncio.Protocol):
    """Gives a protocol a transport that can be silenced, and passes everything else on."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        self.protocol = protocol
        self.transport: _Silenceable | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = _Silenceable(transport)
        self.protocol.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        self.protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self.protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        self.protocol.resume_writing()


class PartitionedLoop(asyncio.SelectorEventLoop):
    """Event loop whose connections follow a partition.

    Args:
        path: The file that describes the partition in force.
    """

    def __init__(self, path: Path) -> None:
        super().__init__()
        self._path = path
        self._partition: Partition | None = None
        self._open: dict[int, list[_Silenceable]] = {}
        self.call_soon(self._follow)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        """Connect once the partition permits it."""
        assert port is not None
        await self._pass(port)
        _, observed = await super().create_connection(
            lambda: _Observed(protocol_factory()), host, port, **options
        )
        self._open.setdefault(port, []).append(observed.transport)
        return observed.transport, observed.protocol

    async def _pass(self, port: int) -> None:
        """Return once a new connection to a port may be established."""
        while (partition := self._partition) is not None and port in partition.ports:
            if partition.kind.refuses:
                raise ConnectionRefusedError(f"partitioned from port {port}")
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def _follow(self) -> None:
        partition = read_partition(self._path)
        if partition != self._partition:
            self._partition = partition
            self._apply(partition)
        self.call_later(FOLLOW_INTERVAL_S, self._follow)

    def _apply(self, partition: Partition | None) -> None:
        for port, transports in self._open.items():
            transports[:] = [one for one in transports if not one.is_closing()]
            kind = partition.kind if partition is not None and port in partition.ports else None
            for transport in transports:
                if kind is PartitionKind.REFUSE:
                    transport.abort()
                elif kind is not None and kind.silences:
                    transport.silence()
                elif transport.silenced:
                    transport.restore()


def follow_partitions() -> None:
    """Let this process follow the file that its environment names, if any."""
    path = os.environ.get(PARTITION_ENV_VARIABLE)
    if path is None:
        return
    policy = asyncio.DefaultEventLoopPolicy()
    policy.new_event_loop = lambda: PartitionedLoop(Path(path))  # type: ignore[method-assign]
    asyncio.set_event_loop_policy(policy)

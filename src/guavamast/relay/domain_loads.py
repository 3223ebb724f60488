"""Work at endpoints as sums over failure domains, told by relays a few times a second."""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.beat_relays import RELAYS_EACH
from guavamast.relay.beats import MOST_BUNDLE_BYTES, MalformedBeat, decode_loads, encode_loads

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.beat_relays import BeatRelays
    from guavamast.relay.endpoint_load import EndpointLoads, Load
    from guavamast.relay.store import InstanceRecord

SUMS_MARK: Final = b"l"
"""Begins the datagram of sums."""
SUMS_INTERVAL_S: Final = 0.25
"""Between two tellings: loads are then some 0.2 s old in the own domain and 0.4 s in others, where
whole beats are 0.75 s old and more; a datagram has about 3 kB for 60 endpoints in four domains."""
COMPRESSION: Final = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class DomainLoads:
    """Work of all instances of failure domains at endpoints."""

    loads: dict[str, dict[str, Load]]
    """By failure domain, then by endpoint."""


def encode_sums(sums: DomainLoads) -> bytes:
    """Return the datagram of sums."""
    fields = {domain: encode_loads(loads) for domain, loads in sums.loads.items()}
    text = json.dumps(fields, separators=(",", ":"))
    return SUMS_MARK + zlib.compress(text.encode(), COMPRESSION)


def decode_sums(data: bytes) -> DomainLoads:
    """Return the sums of a datagram.

    Raises:
        MalformedBeat: It has none.
    """
    try:
        text = zlib.decompressobj().decompress(data[len(SUMS_MARK) :], MOST_BUNDLE_BYTES)
        fields = dict(json.loads(text))
        return DomainLoads(
            loads={str(domain): decode_loads(loads) for domain, loads in fields.items()}
        )
    except (zlib.error, ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
        raise MalformedBeat(f"sums: {type(error).__name__}: {error}") from error


class DomainLoadExchange:
    """Tells and takes sums where there are many instances.

    Failure: loads ride on beats that relays bundle once in a while; all instances see an engine as
    idle that others have filled since, and first events come seconds late. Notices of changed work
    go to the relays at once, which tell sums: small enough to be told often.

    Args:
        failure_domain: Of this instance.
        loads: This instance's knowledge of work.
        relays: Decides whether this instance is a relay, and who gets what.
        send: Sends a datagram to an instance.
        read_time: The local clock.
    """

    __slots__ = ("_failure_domain", "_loads", "_read_time", "_relays", "_send", "_turn")

    def __init__(
        self,
        *,
        failure_domain: str,
        loads: EndpointLoads,
        relays: BeatRelays,
        send: Callable[[bytes, InstanceRecord], None],
        read_time: Callable[[], float],
    ) -> None:
        self._failure_domain = failure_domain
        self._loads = loads
        self._relays = relays
        self._send = send
        self._read_time = read_time
        self._turn = 0

    async def run(self) -> None:
        """Tell sums until cancelled."""
        while True:
            await asyncio.sleep(SUMS_INTERVAL_S)
            self.tell()

    def tell(self) -> None:
        """As a relay, tell the other domains' relays, and in turn the own domain."""
        now = self._read_time()
        place = self._relays.find_turn(now=now)
        if place is None:
            return
        self._turn += 1
        own = self._failure_domain
        names = {beat.record.name for beat in self._relays.list_domain_beats(now=now)}
        self._loads.take_domain(own, self._loads.sum_peers(names), now=now)
        whole = self._loads.sum_domain(own)
        targets = self._relays.list_other_relays(now=now)
        self._send_all(DomainLoads(loads={own: whole}), targets)
        if (self._turn + place) % RELAYS_EACH == 0:
            sums = DomainLoads(loads=self._loads.list_domains(now=now) | {own: whole})
            self._send_all(sums, self._relays.list_members())

    def take(self, sums: DomainLoads) -> None:
        """Take sums from a relay; a relay sums up its own domain itself."""
        now = self._read_time()
        for domain, loads in sums.loads.items():
            if domain != self._failure_domain:
                self._loads.take_domain(domain, loads, now=now)
            elif not self._relays.is_relay(now=now):
                self._loads.take_domain(domain, self._loads.subtract_told(loads), now=now)

    def _send_all(self, sums: DomainLoads, targets: list[InstanceRecord]) -> None:
        data = encode_sums(sums)
        for target in targets:
            self._send(data, target)

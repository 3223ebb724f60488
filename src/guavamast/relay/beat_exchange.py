"""Sends this instance's beats, takes those of others, and passes them on as a relay."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.beat_relays import RELAYS_EACH
from guavamast.relay.beats import BeatBundle, encode_beat, encode_bundle
from guavamast.relay.peers import compute_beat_interval

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.beat_relays import BeatRelays
    from guavamast.relay.beats import Beat
    from guavamast.relay.bundle_content import BundleContent
    from guavamast.relay.freshness import Proof
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

EXCHANGE_INTERVAL_S: Final = 0.5
"""Seconds between two bundles from relay to relay."""
BUNDLE_INTERVAL_S: Final = RELAYS_EACH * EXCHANGE_INTERVAL_S
"""Between two bundles from a relay to its whole failure domain: the relays do so by turns, and an
instance gets a bundle in each exchange's interval."""
PACED_SHARE: Final = 0.7
"""Share of that interval over which a relay spreads its bundles. Sent at once, they would fill its
link and hold up the answers on it."""


class BeatExchange:
    """Tells other instances of this one, and of each other where there are many.

    Args:
        name: This instance.
        peers: The others.
        relays: Decides where beats go.
        content: What this instance tells as a relay.
        make_beat: Returns this instance's next beat.
        take_beat: Told of each beat that is news.
        take_bundle: Told of each bundle.
        send: Sends a datagram to an instance.
        read_time: The local clock.
    """

    __slots__ = (
        "_catalog_forwarded",
        "_content",
        "_endpoints_forwarded",
        "_make_beat",
        "_name",
        "_peers",
        "_read_time",
        "_relays",
        "_send",
        "_take_beat",
        "_take_bundle",
    )

    def __init__(
        self,
        *,
        name: str,
        peers: Peers,
        relays: BeatRelays,
        content: BundleContent,
        make_beat: Callable[[], Beat],
        take_beat: Callable[[Beat], None],
        take_bundle: Callable[[BeatBundle], None],
        send: Callable[[bytes, InstanceRecord], None],
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._peers = peers
        self._relays = relays
        self._content = content
        self._make_beat = make_beat
        self._take_beat = take_beat
        self._take_bundle = take_bundle
        self._send = send
        self._read_time = read_time
        self._catalog_forwarded = 0.0
        self._endpoints_forwarded = 0.0

    async def run(self) -> None:
        """Send beats until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_beats())
            tasks.create_task(self._relay_beats())
            tasks.create_task(self._tell_domain_by_turns())

    def announce(self) -> None:
        """Send a beat with news at once."""
        beat = self._make_beat()
        now = self._read_time()
        data = encode_beat(beat)
        for target in self._list_news_targets():
            self._send(data, target)
        if self._relays.is_relay(now=now):
            self._forward(beat)

    def tell_table(self, data: bytes | None) -> None:
        """Tell the others a table that this instance has read and that has changed.

        It spares each of them a read of the store: a change cost as many calls as there are
        instances. Who misses it hears of it with the next beat and reads for itself.

        Args:
            data: Its datagram; None if no datagram holds it.
        """
        if data is None:
            return
        for target in self._list_news_targets():
            self._send(data, target)

    def forward_table(self, data: bytes, *, domain: str) -> None:
        """Pass a table that was news on: a relay does, and whoever is told from another domain.

        Args:
            data: Its datagram.
            domain: Failure domain of the instance that has read it.
        """
        now = self._read_time()
        if self._relays.is_relay(now=now):
            targets = self._relays.list_members()
        elif domain != self._relays.domain:
            targets = self._relays.list_own_targets(now=now)
        else:
            return
        for target in targets:
            self._send(data, target)

    def announce_to_all(self) -> None:
        """Send a beat to each instance directly: on coming and on leaving."""
        data = encode_beat(self._make_beat())
        for target in self._peers.list_targets():
            self._send(data, target)

    def take(self, beat: Beat) -> None:
        """Take a beat from its instance itself, and pass it on at once if it brings news."""
        now = self._read_time()
        state = self._peers.find_state(beat.record.name)
        if not self._peers.take(beat, now=now):
            return
        self._take_beat(beat)
        if self._relays.is_relay(now=now):
            self._forward(beat, changed=state is not beat.state)

    def take_bundle(self, bundle: BeatBundle) -> None:
        """Take what a relay has passed on."""
        now = self._read_time()
        self._relays.note_bundle(now=now)
        records = {record.name: record for record in bundle.records}
        for sign in bundle.signs:
            self._peers.take_sign(sign, records.get(sign.name), now=now)
        self._take_bundle(bundle)
        if self._relays.is_foreign(bundle.relay) and not self._relays.is_relay(now=now):
            data = encode_bundle(bundle)
            for target in self._relays.list_own_targets(now=now):
                self._send(data, target)

    def send_beat(self) -> None:
        """Send one beat to those who always get it."""
        data = encode_beat(self._make_beat())
        for target in self._relays.list_own_targets(now=self._read_time()):
            self._send(data, target)

    def tell_relays(self) -> None:
        """As a relay, tell the other domains' relays of the own domain."""
        now = self._read_time()
        if not self._relays.is_relay(now=now):
            return
        peers = self._relays.list_domain_peers(now=now)
        bundles = self._content.make_own(self._make_beat(), peers, now=now)
        targets = self._relays.list_other_relays(now=now)
        for data in map(encode_bundle, bundles):
            for target in targets:
                self._send(data, target)

    async def tell_domain(self, *, pause_s: float) -> None:
        """As a relay, tell the own domain of everybody.

        Args:
            pause_s: Between two datagrams: a bundle to each at once would fill a slow link and hold
                up answers.
        """
        now = self._read_time()
        if not self._relays.is_relay(now=now):
            return
        peers = self._peers.list_live(now=now)
        made = self._content.make_all(self._make_beat(), peers, now=now)
        bundles = [encode_bundle(bundle) for bundle in made]
        for target in self._relays.list_members():
            for data in bundles:
                self._send(data, target)
            await asyncio.sleep(pause_s)

    def _list_news_targets(self) -> list[InstanceRecord]:
        return self._relays.list_news_targets(now=self._read_time())

    def _forward(self, beat: Beat, *, changed: bool = False) -> None:
        """Tell the own failure domain of a proof that is newer than those told before.

        Args:
            beat: The beat with the proof.
            changed: Whether it brings other news.
        """
        catalog = _read_reading(beat.catalog)
        endpoints = _read_reading(beat.endpoints)
        newer = catalog > self._catalog_forwarded or endpoints > self._endpoints_forwarded
        if not newer and not changed:
            return
        self._catalog_forwarded = max(catalog, self._catalog_forwarded)
        self._endpoints_forwarded = max(endpoints, self._endpoints_forwarded)
        bundle = BeatBundle(
            relay=self._name,
            signs=[beat.make_sign()],
            records=[beat.record],
            catalog=beat.catalog,
            endpoints=beat.endpoints,
            profiles={},
        )
        data = encode_bundle(bundle)
        for target in self._relays.list_members():
            if target.name != beat.record.name:
                self._send(data, target)

    async def _send_beats(self) -> None:
        while True:
            self.send_beat()
            await asyncio.sleep(compute_beat_interval(self._peers.count_known()))

    async def _relay_beats(self) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.tell_relays()

    async def _tell_domain_by_turns(self) -> None:
        place: int | None = None
        while True:
            began = self._read_time()
            found = self._relays.find_turn(now=began)
            if found is None:
                place = None
                await asyncio.sleep(EXCHANGE_INTERVAL_S)
                continue
            if found != place:
                place = found
                await asyncio.sleep(place * EXCHANGE_INTERVAL_S)
            members = max(1, len(self._relays.list_members()))
            await self.tell_domain(pause_s=PACED_SHARE * BUNDLE_INTERVAL_S / members)
            await asyncio.sleep(max(0.0, began + BUNDLE_INTERVAL_S - self._read_time()))


def _read_reading(proof: Proof | None) -> float:
    return proof.reading if proof is not None else 0.0

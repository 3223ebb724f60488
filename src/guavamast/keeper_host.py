"""The keepers that a dispatcher hosts and its streams to entries."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from guavamast._slot_wire import decode_ask, decode_release, encode_event, encode_probe
from guavamast.errors import ErrorCode
from guavamast.estimates import LengthEstimates
from guavamast.fleet_objects import EndpointKind, EndpointState
from guavamast.keepers import EndpointKeeper
from guavamast.slots import Granted, Refused, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast import peer_pb2
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.metrics import Metrics
    from guavamast.slots import Ask, KeeperEvent, LoadReport

CAUTION_S: Final = 1.0
"""Seconds of the cautious start: a new keeper lets entries present the slots that they hold."""
PROBE_INTERVAL_S: Final = 0.5
"""Seconds between probes to entries with asks in flight; see ``ANSWER_TIMEOUT_S``."""
UNKNOWN_ENDPOINT_RETRY_S: Final = 1.0
MIN_TICK_INTERVAL_S: Final = 0.001
"""Minimum seconds between two ticks, so that a keeper that is always due can't block the loop."""
IDLE_LIFETIME_S: Final = 60.0


class EntryStream:
    """Messages that wait to be sent to one entry."""

    __slots__ = ("entry", "outbox")

    def __init__(self, *, entry: str) -> None:
        self.entry = entry
        self.outbox: asyncio.Queue[peer_pb2.KeeperMessage] = asyncio.Queue()


class KeeperHost:
    """Hosts the keepers and sends their decisions to the entries.

    A keeper is created at the first ask for its endpoint, whichever instance should keep it by the
    membership view of this process. Rejecting the ask would leave the entry without a keeper while
    views differ; two keepers for a short time cost over-admission only.

    Args:
        clock: Monotonic time in seconds.
        metrics: Receives the counts.
    """

    def __init__(self, *, clock: Callable[[], float], metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._configuration: Configuration | None = None
        self.configured = asyncio.Event()
        """Set once there is a configuration that defines the endpoints."""
        self._lengths = LengthEstimates()
        """Output lengths, learnt by all keepers of this process."""
        self._keepers: dict[str, EndpointKeeper] = {}
        self._endpoints: dict[str, Endpoint] = {}
        """Each kept endpoint as last configured."""
        self._out_of_use: set[str] = set()
        """Endpoints that get no new work because of their orders."""
        self._used_at: dict[str, float] = {}
        self._streams: dict[str, EntryStream] = {}
        self._probe_subscribers: dict[str, set[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.on_new_keeper: Callable[[str], None] = lambda _: None
        """Called with the endpoint's name to poll its load at once, ending the cautious start."""

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration; endpoints that it lacks stop granting."""
        self._configuration = configuration
        self.configured.set()
        now = self._clock()
        for name, keeper in list(self._keepers.items()):
            last = replace(self._endpoints[name], state=EndpointState.LEAVING)
            endpoint = self._apply_cordon(configuration.endpoints.get(name, last))
            self._endpoints[name] = endpoint
            events = keeper.configure(endpoint=endpoint, configuration=configuration, now=now)
            self._deliver(events, now)
        self.schedule_tick()

    def set_out_of_use(self, name: str, *, out_of_use: bool) -> None:
        """Stop new work for an endpoint while it loads, or resume it; a repeat does nothing.

        The hold persists across new configurations and the end of the keeper.
        """
        if out_of_use == (name in self._out_of_use):
            return
        self._out_of_use ^= {name}
        if self._configuration is not None and name in self._keepers:
            self.configure(self._configuration)

    def count_running(self, name: str) -> int:
        """Return how many requests hold a slot of an endpoint, by the keeper in this process."""
        keeper = self._keepers.get(name)
        return 0 if keeper is None else keeper.build_probe(now=self._clock()).in_flight

    def _apply_cordon(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.name not in self._out_of_use:
            return endpoint
        return replace(endpoint, state=EndpointState.LEAVING)

    def connect(self, entry: str) -> EntryStream:
        """Open an entry's stream; it replaces an earlier one of the same entry."""
        stream = EntryStream(entry=entry)
        self._streams[entry] = stream
        return stream

    def disconnect(self, stream: EntryStream) -> None:
        """Drop an entry's queued asks when its stream ends."""
        if self._streams.get(stream.entry) is not stream:
            return
        del self._streams[stream.entry]
        now = self._clock()
        for keeper in list(self._keepers.values()):
            self._deliver(keeper.drop_entry(stream.entry, now=now), now)
        self.schedule_tick()

    def receive(self, message: peer_pb2.EntryMessage, *, entry: str) -> None:
        """Handle one message of an entry; call `schedule` after the last of a batch."""
        now = self._clock()
        kind = message.WhichOneof("body")
        if kind == "ask":
            self._receive_ask(decode_ask(message.ask, entry=entry, now=now), now)
        elif kind == "present":
            self._receive_present(message.present, entry, now)
        elif kind == "release":
            self._receive_release(decode_release(message.release), now)
        elif kind == "withdraw":
            keeper = self._keepers.get(message.withdraw.endpoint)
            if keeper is not None:
                self._deliver(keeper.withdraw(message.withdraw.ask_id, now=now), now)
        elif kind == "progress":
            keeper = self._keepers.get(message.progress.endpoint)
            if keeper is not None:
                keeper.record_progress(message.progress.ask_id, message.progress.tokens, now=now)

    def record_load(self, report: LoadReport) -> None:
        """Record an endpoint's load report."""
        keeper = self._keepers.get(report.endpoint)
        if keeper is not None:
            now = self._clock()
            self._deliver(keeper.record_load(report, now=now), now)
            self.schedule_tick()

    def list_kept(self) -> list[str]:
        """Return the endpoints that were asked for lately; drop idle keepers."""
        now = self._clock()
        for name, used_at in list(self._used_at.items()):
            idle = self._keepers[name].build_probe(now=now).in_flight == 0
            if idle and now - used_at > IDLE_LIFETIME_S:
                self._drop_keeper(name)
        return list(self._keepers)

    def send_probes(self) -> None:
        """Send each entry with asks in flight the state of its endpoints."""
        now = self._clock()
        for name, entries in self._probe_subscribers.items():
            message = encode_probe(self._keepers[name].build_probe(now=now))
            for entry in entries:
                self._send(entry, message)

    def _receive_ask(self, ask: Ask, now: float) -> None:
        self._metrics.count("keeper.asks")
        keeper = self._get_or_create_keeper(ask.endpoint, now)
        if keeper is None:
            refused = Refused(
                ask=ask, code=ErrorCode.NO_ENDPOINT, retry_after_s=UNKNOWN_ENDPOINT_RETRY_S
            )
            self._deliver([refused], now)
            return
        self._probe_subscribers.setdefault(ask.endpoint, set()).add(ask.entry)
        self._deliver(keeper.ask(ask, now=now), now)
        self._send(ask.entry, encode_probe(keeper.build_probe(now=now)))

    def _receive_present(self, message: peer_pb2.PresentMessage, entry: str, now: float) -> None:
        ask = decode_ask(message.ask, entry=entry, now=now)
        keeper = self._get_or_create_keeper(ask.endpoint, now)
        if keeper is not None:
            events = keeper.present(ask, held_s=message.held_s, tokens=message.tokens, now=now)
            self._deliver(events, now)

    def _receive_release(self, release: Release, now: float) -> None:
        keeper = self._keepers.get(release.endpoint)
        if keeper is not None:
            self._deliver(keeper.release(release, now=now), now)

    def _get_or_create_keeper(self, name: str, now: float) -> EndpointKeeper | None:
        self._used_at[name] = now
        if name in self._keepers:
            return self._keepers[name]
        endpoint = self._configuration.endpoints.get(name) if self._configuration else None
        if endpoint is None:
            del self._used_at[name]
            return None
        endpoint = self._apply_cordon(endpoint)
        # A service reports no load, so a cautious start would only delay its first calls.
        caution_s = CAUTION_S if endpoint.kind is EndpointKind.ENGINE else 0.0
        keeper = EndpointKeeper(
            endpoint=endpoint,
            configuration=self._configuration,
            now=now,
            cautious_until=now + caution_s,
            lengths=self._lengths,
        )
        self.on_new_keeper(name)
        self._keepers[name] = keeper
        self._endpoints[name] = endpoint
        return keeper

    def _drop_keeper(self, name: str) -> None:
        self._keepers.pop(name, None)
        self._endpoints.pop(name, None)
        self._used_at.pop(name, None)
        self._probe_subscribers.pop(name, None)

    def _deliver(self, events: list[KeeperEvent], now: float) -> None:
        for event in events:
            self._metrics.count(f"keeper.{type(event).__name__.lower()}")
            sent = self._send(event.ask.entry, encode_event(event))
            if isinstance(event, Granted) and not sent:
                # The entry is disconnected: it sends nothing under this grant.
                self._receive_release(
                    Release(ask_id=event.ask.ask_id, endpoint=event.ask.endpoint, used=False), now
                )

    def _send(self, entry: str, message: peer_pb2.KeeperMessage) -> bool:
        stream = self._streams.get(entry)
        if stream is None:
            return False
        stream.outbox.put_nowait(message)
        return True

    def schedule_tick(self) -> None:
        """Set the timer to the next wake-up of a keeper."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wakeups = [keeper.next_wakeup() for keeper in self._keepers.values()]
        times = [at for at in wakeups if at is not None]
        if times:
            delay = max(MIN_TICK_INTERVAL_S, min(times) - self._clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock()
        for keeper in list(self._keepers.values()):
            self._deliver(keeper.tick(now=now), now)
        self.schedule_tick()

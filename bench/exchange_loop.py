"""Simulated exchange of heartbeats between instances, without sockets or a real clock.

One step delivers each sent message over its stream; one round is one heartbeat period.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from guavamast.configuration_spread import ConfigurationSpread
from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.heartbeat_exchange import ExchangeState, HeartbeatExchange
from guavamast.members import MemberState
from guavamast.membership import Membership, MembershipTiming

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.peer_pb2 import HeartbeatMessage

CONTACT_ROUNDS = 5
"""Rounds between two attempts of one instance to connect to a seed or a gone instance."""


def build_instance(name: str, *, region: str = "sierra", domain: str = "a") -> Instance:
    """Return an instance whose addresses are derived from its name."""
    return Instance(
        name=name,
        failure_domain=FailureDomain(name=f"{region}-{domain}", region=region),
        caller_address=f"{name}:callers",
        peer_address=name,
    )


@dataclass(slots=True, kw_only=True)
class Node:
    """The decision objects of one instance."""

    membership: Membership
    spread: ConfigurationSpread
    exchange: HeartbeatExchange
    running: bool = True


@dataclass(slots=True, kw_only=True)
class Stream:
    """One stream: for each end its exchange state and the messages that it has yet to receive."""

    states: dict[str, ExchangeState]
    waiting: dict[str, list[HeartbeatMessage]] = field(default_factory=dict)

    def get_other(self, name: str) -> str:
        """Return the name of the other end."""
        return next(other for other in self.states if other != name)


class ExchangeLoop:
    """Simulated instances and the streams between them.

    Args:
        instances: The instances; the first two are the seeds of all.
        seed: Seed of the random choice of contacts.
        timing: Intervals and timeouts of the failure detector.
    """

    def __init__(
        self,
        *,
        instances: Iterable[Instance],
        seed: int = 1,
        timing: MembershipTiming | None = None,
    ) -> None:
        self.now = 0.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self.nodes: dict[str, Node] = {}
        self.streams: dict[frozenset[str], Stream] = {}
        self.is_partitioned: Callable[[str, str], bool] = lambda _first, _second: False
        self._random = Random(seed)
        self._timing = timing or MembershipTiming()
        self._instances = {instance.name: instance for instance in instances}
        self._seeds = list(self._instances)[:2]
        for name in self._instances:
            self.start(name)

    def start(self, name: str, *, incarnation: int | None = None) -> Node:
        """Start or restart an instance."""
        self.kill(name)
        membership = Membership(
            me=self._instances[name],
            incarnation=1000 + int(self.now * 1000) if incarnation is None else incarnation,
            now=self.now,
            timing=self._timing,
        )
        membership.add_seeds(self._seeds)
        spread = ConfigurationSpread(now=self.now, seed=len(self.nodes))
        exchange = HeartbeatExchange(membership=membership, spread=spread)
        self.nodes[name] = Node(membership=membership, spread=spread, exchange=exchange)
        return self.nodes[name]

    def kill(self, name: str) -> None:
        """Stop an instance without a leave message; its streams close."""
        self.nodes.pop(name, None)
        for pair in [pair for pair in self.streams if name in pair]:
            self._close(pair)

    def list_running(self) -> list[str]:
        """Return the names of the instances that run."""
        return [name for name, node in self.nodes.items() if node.running]

    def run_round(self, *, steps: int = 10) -> int:
        """Run one heartbeat period.

        Args:
            steps: Maximum number of steps in this round.

        Returns:
            The number of steps until no update was left to send.
        """
        self.now += self._timing.period_s
        for name in self.list_running():
            self.nodes[name].membership.tick(now=self.now)
        self._update_streams()
        self.run_step(urgent=False)
        for step in range(1, steps):
            if not self.run_step(urgent=True):
                return step
        return steps

    def run_step(self, *, urgent: bool) -> bool:
        """Send on each stream, or if ``urgent`` only updates; return whether any was sent."""
        sent = False
        for stream in self.streams.values():
            for name, state in stream.states.items():
                node = self.nodes[name]
                if not node.running:
                    continue
                if urgent and not node.exchange.has_updates(state, now=self.now):
                    continue
                message = node.exchange.build_message(state, now=self.now)
                self.bytes_sent += message.ByteSize()
                self.messages_sent += 1
                stream.waiting.setdefault(stream.get_other(name), []).append(message)
                sent = True
        for stream in self.streams.values():
            self._deliver(stream)
        return sent

    def has_converged(self) -> bool:
        """Return whether all running instances list exactly the running instances."""
        running = self.list_running()
        expected = [(n, self.nodes[n].membership.me.incarnation) for n in sorted(running)]
        for name in running:
            view = self.nodes[name].membership.create_view(now=self.now)
            seen = [
                (member.instance.name, member.incarnation)
                for member in view.members
                if member.state in (MemberState.LIVE, MemberState.LEAVING)
            ]
            if seen != expected or len(view.members) != len(expected):
                return False
        return True

    def _deliver(self, stream: Stream) -> None:
        for name, messages in stream.waiting.items():
            node = self.nodes[name]
            if not node.running:
                continue
            for message in messages:
                node.exchange.apply_message(message, stream.states[name], now=self.now)
            messages.clear()

    def _update_streams(self) -> None:
        target_pairs = set()
        for name in self.list_running():
            for other in self._list_targets(name):
                pair = frozenset((name, other))
                if other not in self.nodes:
                    self.nodes[name].membership.report_connection_refused(other, now=self.now)
                elif other != name and not self.is_partitioned(name, other):
                    target_pairs.add(pair)
        for pair in list(self.streams):
            stopped = [name for name in pair if not self.nodes[name].running]
            if self.is_partitioned(*pair) or (pair not in target_pairs and not stopped):
                self._close(pair)
        for pair in target_pairs - set(self.streams):
            if all(self.nodes[name].running for name in pair):
                self.streams[pair] = Stream(states={name: ExchangeState() for name in sorted(pair)})

    def _list_targets(self, name: str) -> list[str]:
        membership = self.nodes[name].membership
        targets = [member.instance.name for member in membership.list_neighbours()]
        if not targets or int(self.now) % CONTACT_ROUNDS == 0:
            contacts = membership.list_reconnect_addresses()
            targets.extend(self._random.sample(contacts, min(1, len(contacts))))
        return targets

    def _close(self, pair: frozenset[str]) -> None:
        stream = self.streams.pop(pair)
        for name, state in stream.states.items():
            if name in self.nodes and state.peer:
                self.nodes[name].spread.forget_peer(state.peer)

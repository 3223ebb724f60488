"""Properties of the heartbeat exchange without I/O, over generated fault histories."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import Final

from bench.exchange_loop import ExchangeLoop, build_instance
from hypothesis import given
from hypothesis import strategies as st

from guavamast.configuration_spread import Source
from guavamast.members import MemberState

NAMES: Final = tuple(f"i{number}" for number in range(7))
REGIONS: Final = ("sierra", "wallonie")
MAX_CONVERGENCE_ROUNDS: Final = 150
"""Bound on the rounds until all agree: detection at `MAX_SUSPICION_FACTOR`, and reconnects."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One event of a fault history and the number of rounds after it."""

    kind: str
    name: str
    rounds: int


FAULTS: Final = st.builds(
    Fault,
    kind=st.sampled_from(
        ["kill", "restart", "old-clock", "pause", "resume", "split", "heal", "leave", "confirm"]
    ),
    name=st.sampled_from(NAMES),
    rounds=st.sampled_from([0, 1, 3, 8, 20]),
)


class FaultHistory:
    """Applies faults to an `ExchangeLoop` and checks invariants in each round."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.case = case
        instances = [
            build_instance(name, region=REGIONS[number % 2]) for number, name in enumerate(NAMES)
        ]
        self.loop = ExchangeLoop(instances=instances)
        self.accepted = 0
        self.versions: dict[str, tuple[int, int]] = {}
        for node in self.loop.nodes.values():
            node.spread.record_head(0, now=0.0)

    def apply(self, fault: Fault) -> None:
        """Inject a fault and run the rounds after it."""
        getattr(self, "_" + fault.kind.replace("-", "_"))(fault.name)
        for _ in range(fault.rounds):
            self.run_round()

    def run_round(self) -> None:
        """Run one round; no instance's version may decrease while its process lives."""
        self.loop.run_round()
        for name, node in self.loop.nodes.items():
            process, version = self.versions.get(name, (id(node), 0))
            if process == id(node):
                self.case.assertGreaterEqual(node.spread.version, version)
            self.versions[name] = (id(node), node.spread.version)

    def end_faults(self) -> None:
        """Restore links and paused processes, and restart an instance if none is left."""
        self._heal("")
        for name in NAMES:
            self._resume(name)
        if not self.loop.nodes:
            self._restart(NAMES[0])

    def converge(self) -> None:
        """Run rounds until all agree, within the bound."""
        for _ in range(MAX_CONVERGENCE_ROUNDS):
            self.run_round()
            nodes = self.loop.nodes.values()
            if self.loop.has_converged() and len({n.exchange.compute_digest() for n in nodes}) == 1:
                return

    def _kill(self, name: str) -> None:
        self.loop.kill(name)

    def _restart(self, name: str) -> None:
        node = self.loop.start(name)
        node.spread.record_head(self.accepted, now=self.loop.now)

    def _old_clock(self, name: str) -> None:
        node = self.loop.start(name, incarnation=1)
        node.spread.record_head(self.accepted, now=self.loop.now)

    def _pause(self, name: str) -> None:
        if name in self.loop.nodes:
            self.loop.nodes[name].running = False

    def _resume(self, name: str) -> None:
        if name in self.loop.nodes:
            self.loop.nodes[name].running = True

    def _split(self, name: str) -> None:
        del name
        self.loop.is_partitioned = lambda first, second: int(first[1:]) % 2 != int(second[1:]) % 2

    def _heal(self, name: str) -> None:
        del name
        self.loop.is_partitioned = lambda _first, _second: False

    def _leave(self, name: str) -> None:
        if name in self.loop.nodes:
            self.loop.nodes[name].membership.leave(now=self.loop.now)

    def _confirm(self, name: str) -> None:
        node = self.loop.nodes.get(name)
        if node is not None and node.running:
            self.accepted += 1
            text = f"version {self.accepted} " + "same " * 20
            node.spread.accept(self.accepted, text, source=Source.PLATFORM, now=self.loop.now)


class ConvergenceTest(unittest.TestCase):
    """After any fault history, the instances agree soon after the faults have ended."""

    @given(st.lists(FAULTS, max_size=6))
    def test_views_and_versions_converge_after_any_history(self, faults: list[Fault]) -> None:
        """Instances crash, restart, pause and are partitioned, in any order.

        While views differ, work is sent to dead instances or a live one goes unused. After the
        last fault all views must contain exactly the running instances, all of them with the
        highest version that any of them ever had.
        """
        history = FaultHistory(self)
        for fault in faults:
            history.apply(fault)
        history.end_faults()
        highest = max(node.spread.version for node in history.loop.nodes.values())
        history.converge()
        self.assertTrue(history.loop.has_converged())
        nodes = history.loop.nodes.values()
        self.assertEqual(len({node.exchange.compute_digest() for node in nodes}), 1)
        for node in nodes:
            if node.spread.head <= highest:
                self.assertEqual(node.spread.version, highest)

    @given(st.sampled_from(NAMES), st.integers(10, 120))
    def test_paused_instance_suspects_nobody_after_its_own_pause(
        self, name: str, rounds: int
    ) -> None:
        """A process is paused for long enough to be declared gone, then resumes.

        It finds every neighbour silent for the length of its pause. If it counted that silence, it
        would tell the fleet that all others are gone, and keepers would move twice.
        """
        history = FaultHistory(self)
        for _ in range(5):
            history.run_round()
        before = {n: node.membership.me.incarnation for n, node in history.loop.nodes.items()}
        history.apply(Fault(kind="pause", name=name, rounds=rounds))
        view = history.loop.nodes["i1" if name == "i0" else "i0"].membership.create_view(now=0.0)
        self.assertNotIn(name, [member.instance.name for member in view.members])
        history.end_faults()
        history.converge()
        after = {n: node.membership.me.incarnation for n, node in history.loop.nodes.items()}
        self.assertEqual([n for n in NAMES if after[n] != before[n]], [name])

    @given(st.sampled_from(NAMES))
    def test_a_leaving_instance_serves_nobody_in_any_view(self, name: str) -> None:
        history = FaultHistory(self)
        for _ in range(3):
            history.run_round()
        history.apply(Fault(kind="leave", name=name, rounds=1))
        for node in history.loop.nodes.values():
            view = node.membership.create_view(now=history.loop.now)
            states = {member.instance.name: member.state for member in view.members}
            self.assertEqual(states[name], MemberState.LEAVING)
            self.assertNotIn(name, [m.instance.name for m in view.list_serving()])


if __name__ == "__main__":
    unittest.main()

"""The failure detector of one instance."""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import pairwise

from bench.exchange_loop import build_instance

from guavamast.members import Member, MemberState
from guavamast.membership import Membership


def create_member(name: str, **changes: int) -> Member:
    """Return a live member's record."""
    member = Member(
        instance=build_instance(name),
        incarnation=1,
        state=MemberState.LIVE,
        heartbeat=1,
        configuration_version=0,
    )
    return replace(member, **changes)


def create_membership() -> Membership:
    """Return the membership of ``a`` that knows ``b``."""
    membership = Membership(me=build_instance("a"), incarnation=1, now=0.0)
    membership.merge([create_member("b")], now=0.0)
    return membership


def find_state(membership: Membership, name: str) -> MemberState:
    """Return the recorded state of an instance; GONE if there is no record."""
    member = membership.get(name)
    return member.state if member else MemberState.GONE


class MembershipTest(unittest.TestCase):
    """Silence, refused connections, refutations and leaving."""

    def test_a_silent_neighbour_is_suspected_then_gone_then_forgotten(self) -> None:
        membership = create_membership()
        states = []
        for second in range(1, 10):
            membership.tick(now=float(second))
            states.append(find_state(membership, "b"))
        self.assertEqual(states[3:5], [MemberState.LIVE, MemberState.SUSPECT])
        self.assertEqual(states[-1], MemberState.GONE)
        self.assertEqual(membership.list_reconnect_addresses(), ("b",))
        for second in range(10, 7300):
            membership.tick(now=float(second))
        self.assertIsNone(membership.get("b"))
        self.assertEqual(membership.list_reconnect_addresses(), ())

    def test_a_refused_connection_makes_a_neighbour_suspected_at_once(self) -> None:
        """A dispatcher's process is killed and its machine refuses connections at once.

        Waiting for silence would leave its endpoints' queues without a keeper for seconds longer.
        """
        membership = create_membership()
        membership.tick(now=1.0)
        membership.report_connection_refused("b", now=1.0)
        self.assertEqual(find_state(membership, "b"), MemberState.SUSPECT)
        for second in (2.0, 3.0):
            membership.tick(now=second)
        self.assertEqual(find_state(membership, "b"), MemberState.GONE)

    def test_repeated_refutations_space_out_suspicions(self) -> None:
        """Only the link between a and b is cut; b refutes each suspicion through other instances.

        Each suspicion is sent to the whole fleet. The allowed silence doubles with each
        refutation, so suspicions become less and less frequent.
        """
        membership = create_membership()
        suspected_at = []
        for second in range(1, 200):
            membership.tick(now=float(second))
            known = membership.get("b")
            if known.state == MemberState.SUSPECT:
                suspected_at.append(second)
                refutation = create_member("b", incarnation=known.incarnation + 1)
                membership.merge([refutation], now=float(second))
        gaps = [later - sooner for sooner, later in pairwise(suspected_at)]
        self.assertEqual(gaps, sorted(gaps))
        self.assertGreater(gaps[-1], 4 * gaps[0])

    def test_pause_compensation_never_sets_times_in_the_future(self) -> None:
        """A paused process resumes, first reads queued heartbeats, then compensates for its pause.

        The heartbeats were then recorded with a time in the future, and a neighbour that died
        right after was considered live for the length of the pause.
        """
        membership = create_membership()
        membership.tick(now=1.0)
        membership.merge([create_member("b", heartbeat=2)], now=61.0)
        membership.tick(now=61.0)
        for second in range(62, 66):
            membership.tick(now=float(second))
        self.assertEqual(find_state(membership, "b"), MemberState.SUSPECT)

    def test_wrong_records_of_this_instance_are_refuted(self) -> None:
        membership = create_membership()
        membership.leave(now=1.0)
        wrong = replace(membership.me, state=MemberState.GONE)
        membership.merge([wrong], now=1.0)
        self.assertEqual(membership.me.incarnation, 2)
        self.assertEqual(membership.me.state, MemberState.LEAVING)

    def test_a_gone_instance_is_passed_on_only_by_those_that_saw_it_leave(self) -> None:
        """One instance forgets a gone one, receives its record from another, and passes it on.

        Records of instances that left long ago would circulate forever and fill the memory.
        """
        membership = create_membership()
        membership.merge([create_member("c", state=MemberState.GONE)], now=0.0)
        membership.merge([create_member("b", state=MemberState.GONE)], now=0.0)
        names = [member.instance.name for member in membership.list_shareable()]
        self.assertEqual(names, ["a", "b"])
        membership.merge([create_member("c")], now=0.0)
        self.assertEqual(find_state(membership, "c"), MemberState.GONE)


if __name__ == "__main__":
    unittest.main()

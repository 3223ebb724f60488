"""Tests of work told as sums over failure domains: who counts what, and nobody twice."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.beat_relays import BeatRelays
from guavamast.relay.beats import (
    Beat,
    InstanceState,
    LoadNotice,
    MalformedBeat,
    decode_message,
    encode_notice,
)
from guavamast.relay.domain_loads import (
    SUMS_MARK,
    DomainLoadExchange,
    DomainLoads,
    decode_sums,
    encode_sums,
)
from guavamast.relay.endpoint_load import SUMS_HOLD_S, EndpointLoads, Load
from guavamast.relay.peers import FULL_MESH_INSTANCES, Peers
from guavamast.relay.prompt_lanes import LANES, Demand
from guavamast.relay.store import InstanceRecord

DOMAINS = ("a", "b", "c")
INSTANCES = 36


class Member:
    """One instance's knowledge of work, without sockets and clocks."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.fleet = fleet
        self.record = InstanceRecord(
            name=f"i{number}",
            ip=f"10.0.0.{number}",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            region="r",
            callers_address=f"10.0.0.{number}:80",
            peer_port=1,
        )
        self.peers = Peers(own_name=self.record.name)
        self.relays = BeatRelays(record=self.record, peers=self.peers)
        self.loads = EndpointLoads(failure_domain=self.record.failure_domain)
        self.sums = DomainLoadExchange(
            failure_domain=self.record.failure_domain,
            loads=self.loads,
            relays=self.relays,
            send=fleet.send,
            read_time=lambda: fleet.now,
        )

    def make_beat(self) -> Beat:
        return Beat(
            record=self.record,
            incarnation=1,
            sequence=1,
            state=InstanceState.SERVING,
            store_answers=True,
            catalog=None,
            endpoints=None,
            loads={},
            demand=Demand(work_ms=(0.0,) * LANES),
            sends=[],
        )

    def notify(self) -> None:
        """Tell the own relays of all work, as notices do."""
        self.loads.note_told()
        notice = LoadNotice(
            instance=self.record.name, incarnation=1, loads=self.loads.list_own(), sends=[]
        )
        for target in self.relays.list_own_targets(now=self.fleet.now):
            self.fleet.send(encode_notice(notice), target)


class Fleet:
    """Instances that know of each other, and the datagrams between them."""

    def __init__(self) -> None:
        self.now = 10.0
        self._waiting: list[tuple[bytes, str]] = []
        self.members = {f"i{number}": Member(number, self) for number in range(INSTANCES)}
        for member in self.members.values():
            member.relays.note_bundle(now=self.now)
            for other in self.members.values():
                member.peers.take(other.make_beat(), now=self.now)

    def send(self, data: bytes, target: InstanceRecord) -> None:
        self._waiting.append((data, target.name))

    def deliver(self) -> None:
        while self._waiting:
            data, name = self._waiting.pop(0)
            member = self.members[name]
            if data.startswith(SUMS_MARK):
                member.sums.take(decode_sums(data))
                continue
            notice = decode_message(data)
            assert isinstance(notice, LoadNotice)
            member.loads.update_peer(notice.instance, notice.loads)

    def tell(self, rounds: int = 4) -> None:
        """Let all notify their relays and the relays tell sums, each at least once."""
        for member in self.members.values():
            member.notify()
        self.deliver()
        for _ in range(rounds):
            for member in self.members.values():
                member.sums.tell()
            self.deliver()


class DomainLoadsTest(unittest.TestCase):
    """What instances believe of the work at endpoints."""

    def setUp(self) -> None:
        self.assertGreater(INSTANCES, FULL_MESH_INSTANCES)
        self.fleet = Fleet()

    def test_all_know_the_work_of_all_and_count_nobody_twice(self) -> None:
        for member in self.fleet.members.values():
            member.loads.begin("e1", prefill_tokens=100, memory_tokens=300)
        self.fleet.tell()
        expected = Load(
            requests=INSTANCES, prefill_tokens=100 * INSTANCES, memory_tokens=300 * INSTANCES
        )
        for name, member in self.fleet.members.items():
            self.assertEqual(member.loads.sum_up("e1"), expected, name)

    def test_own_work_counts_at_once(self) -> None:
        self.fleet.tell()
        member = self.fleet.members["i7"]
        work = member.loads.begin("e1", prefill_tokens=100, memory_tokens=300)
        self.assertEqual(member.loads.sum_up("e1").requests, 1)
        work.end()
        self.assertEqual(member.loads.sum_up("e1"), Load())

    def test_work_that_has_ended_is_forgotten(self) -> None:
        works = [
            member.loads.begin("e1", prefill_tokens=9, memory_tokens=9)
            for member in self.fleet.members.values()
        ]
        self.fleet.tell()
        for work in works:
            work.end()
        for member in self.fleet.members.values():
            member.loads.note_told()
            gone = LoadNotice(
                instance=member.record.name, incarnation=1, loads={"e1": Load()}, sends=[]
            )
            for target in member.relays.list_own_targets(now=self.fleet.now):
                self.fleet.send(encode_notice(gone), target)
        self.fleet.deliver()
        self.fleet.tell()
        for member in self.fleet.members.values():
            self.assertEqual(member.loads.sum_up("e1"), Load())

    def test_without_relays_the_single_words_count_again(self) -> None:
        """Requests are not sent by sums that nobody renews.

        All relays fall silent; the last sums named an engine as idle. After a while they are
        dropped, and what instances have said of themselves counts.
        """
        self.fleet.tell()
        member = self.fleet.members["i7"]
        member.loads.take_peer("i8", {"e1": Load(requests=5)})
        self.assertEqual(member.loads.sum_up("e1").requests, 0)
        member.loads.drop_old_domains(now=self.fleet.now + SUMS_HOLD_S + 0.1)
        self.assertEqual(member.loads.sum_up("e1").requests, 5)

    def test_sums_survive_the_wire(self) -> None:
        sums = DomainLoads(loads={"a": {"e1": Load(requests=2, prefill_tokens=7)}, "b": {}})
        self.assertEqual(decode_sums(encode_sums(sums)), sums)

    @given(data=st.binary(max_size=60))
    def test_any_other_datagram_is_refused(self, data: bytes) -> None:
        with self.assertRaises(MalformedBeat):
            decode_sums(SUMS_MARK + data)


if __name__ == "__main__":
    unittest.main()

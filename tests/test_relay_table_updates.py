"""Tests that changes of the store's tables reach many instances with few reads of the store.

Hundreds of instances start together with their engines, which register one by one over some
seconds; later the operators change the configuration, and the store recovers from an outage. If
each instance read every change, the store would get thousands of calls.
"""

from __future__ import annotations

import unittest
import zlib
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.catalog_update import (
    CATALOG_PREFIX,
    CatalogUpdate,
    decode_catalog_update,
    encode_catalog_update,
)
from guavamast.relay.read_schedule import TICK_S, ReadSchedule

INSTANCES = 350
BOUND_S = 3.6
UPDATE_DELAY_S = 0.04
"""Seconds until all others have a table that one has read: two datagrams and event loop turns."""
BUSY_UPDATE_DELAY_S = 0.15
"""The same while all processes start or apply updates at once."""
HEARTBEAT_DELAY_S = 0.02
"""Seconds until the others know from a heartbeat that a newer version exists."""


class _SimulatedInstance:
    def __init__(self, number: int) -> None:
        self.schedule = ReadSchedule(
            random=Random(number), bound_s=BOUND_S, count_instances=lambda: INSTANCES
        )
        self.version = 0
        self.announced_version = 0

    def is_due(self, *, rank: int, now: float) -> bool:
        """Return whether a read is due; the fixed age makes none due without an update."""
        news = self.announced_version > self.version
        return self.schedule.is_due(age_s=0.1, rank=rank, has_update=news, now=now)


def count_reads(
    changes: list[float], *, until: float, lost: float = 0.0, update_delay_s: float = UPDATE_DELAY_S
) -> tuple[int, float]:
    """Return the number of reads of a fleet and the longest delay of a change at any instance.

    Args:
        changes: When the table changes.
        until: When the simulation ends.
        lost: Share of the instances that receive heartbeats but no tables.
        update_delay_s: Seconds until all others have a table that one has read.
    """
    instances = [_SimulatedInstance(number) for number in range(INSTANCES)]
    reads = 0
    latest = 0.0
    deliveries: list[tuple[float, int, bool]] = []
    now = 0.0
    while now < until:
        newest = sum(at <= now for at in changes)
        if newest and instances[0].version < newest and now % 0.6 < TICK_S:
            instances[0].announced_version = newest
        for at, version, has_table in [one for one in deliveries if one[0] <= now]:
            deliveries.remove((at, version, has_table))
            for number, one in enumerate(instances):
                one.announced_version = max(one.announced_version, version)
                if has_table and number >= lost * INSTANCES and one.version < version:
                    one.version = version
                    latest = max(latest, now - changes[version - 1])
        for rank, one in enumerate(instances):
            if one.is_due(rank=rank, now=now):
                reads += 1
                one.version = newest
                latest = max(latest, now - changes[newest - 1])
                one.schedule.record_success()
                deliveries += [
                    (now + HEARTBEAT_DELAY_S, newest, False),
                    (now + update_delay_s, newest, True),
                ]
        now = round(now + TICK_S / 2, 4)
    assert all(one.version == len(changes) for one in instances)
    return reads, latest


class TableUpdateTest(unittest.TestCase):
    """Reads of the store don't grow with the number of instances."""

    def test_a_change_costs_few_reads_at_350_instances(self) -> None:
        reads, latest = count_reads([1.0], until=4.0)
        self.assertLess(reads, 30)
        self.assertLess(latest, BOUND_S / 2)

    def test_a_change_costs_few_reads_while_all_are_busy(self) -> None:
        reads, latest = count_reads([1.0], until=4.0, update_delay_s=BUSY_UPDATE_DELAY_S)
        self.assertLess(reads, INSTANCES / 3)
        self.assertLess(latest, BOUND_S / 2)

    def test_a_start_of_all_engines_costs_few_reads_a_change(self) -> None:
        """Sixty engines register within four seconds."""
        changes = [1.0 + number / 15 for number in range(60)]
        reads, _ = count_reads(changes, until=9.0)
        self.assertLess(reads, 5 * INSTANCES)

    def test_instances_without_updates_read_in_time(self) -> None:
        """An instance that receives no tables reads a change before its old route is too old."""
        _, latest = count_reads([1.0], until=5.0, lost=0.3)
        self.assertLess(latest, BOUND_S / 2)


class CatalogUpdateTest(unittest.TestCase):
    """Configurations are unchanged by encoding and decoding; anything else is rejected."""

    def test_a_configuration_survives_the_wire(self) -> None:
        news = CatalogUpdate(domain="a", row_version=7, store_time=2.5, text='{"v": "é"}'.encode())
        data = encode_catalog_update(news)
        assert data is not None
        self.assertEqual(decode_catalog_update(data), news)

    def test_oversized_configuration_is_not_sent(self) -> None:
        text = Random(1).randbytes(200_000)
        news = CatalogUpdate(domain="a", row_version=7, store_time=2.5, text=text)
        self.assertIsNone(encode_catalog_update(news))

    @given(data=st.binary(max_size=60))
    def test_malformed_datagrams_are_rejected(self, data: bytes) -> None:
        for body in (data, zlib.compress(data)):
            with self.assertRaises(MalformedData):
                decode_catalog_update(CATALOG_PREFIX + body)


if __name__ == "__main__":
    unittest.main()

"""Tests of what an instance knows of the services that it and others reach."""

from __future__ import annotations

import unittest

from guavamast.decoding import MalformedData
from guavamast.relay.reachability import (
    PeerReachability,
    ReachabilityMonitor,
    ReachabilityReport,
    decode_reachability_report,
    encode_reachability_report,
)
from guavamast.relay.reachability.monitor import PROOF_LIFETIME_S
from guavamast.relay.reachability.reports import REPORT_LIFETIME_S


def build_report(*blocked: str, sequence: int = 1, incarnation: int = 5) -> ReachabilityReport:
    """Return a report of an instance."""
    return ReachabilityReport(
        instance="one",
        failure_domain="a",
        incarnation=incarnation,
        sequence=sequence,
        blocked=blocked,
    )


class ReachabilityMonitorTest(unittest.TestCase):
    """Signs of life of one service say nothing of another one."""

    def setUp(self) -> None:
        self.monitor = ReachabilityMonitor()

    def test_idle_connections_need_a_recent_sign_of_life(self) -> None:
        """Guards against requests that are lost on connections that went silent."""
        self.assertFalse(self.monitor.has_proof("pool", now=10.0))
        self.monitor.record_received("pool", now=10.0)
        self.assertTrue(self.monitor.has_proof("pool", now=10.0 + PROOF_LIFETIME_S))
        self.assertFalse(self.monitor.has_proof("pool", now=10.1 + PROOF_LIFETIME_S))
        self.assertFalse(self.monitor.has_proof("portal", now=10.0))

    def test_received_bytes_are_no_proof_that_new_connections_can_be_had(self) -> None:
        """Guards against new connections that hang while kept ones live on."""
        self.monitor.record_blocked("pool", now=10.0)
        self.monitor.record_received("pool", now=10.5)
        self.assertTrue(self.monitor.is_blocked("pool"))
        self.assertFalse(self.monitor.has_connected_to_other("pool", "e1", since=0.0))

    def test_a_new_connection_ends_the_block_of_its_service(self) -> None:
        self.assertTrue(self.monitor.record_blocked("pool", now=10.0))
        self.assertFalse(self.monitor.record_blocked("pool", now=11.0))
        self.monitor.record_blocked("portal", now=12.0)
        self.assertEqual(self.monitor.record_connected("pool", "e1", now=13.0), 3.0)
        self.assertIsNone(self.monitor.record_connected("pool", "e2", now=14.0))
        self.assertEqual(self.monitor.list_blocked(), ("portal",))

    def test_only_another_endpoint_shows_the_path(self) -> None:
        self.monitor.record_connected("pool", "e1", now=10.0)
        self.assertFalse(self.monitor.has_connected_to_other("pool", "e1", since=9.0))
        self.assertTrue(self.monitor.has_connected_to_other("pool", "e2", since=9.0))
        self.assertFalse(self.monitor.has_connected_to_other("pool", "e2", since=10.5))

    def test_services_and_endpoints_that_are_gone_are_forgotten(self) -> None:
        self.monitor.record_connected("pool", "e1", now=10.0)
        self.monitor.record_blocked("portal", now=10.0)
        self.monitor.retain({"e2"}, services={"pool"})
        self.assertEqual(self.monitor.list_blocked(), ())
        self.assertFalse(self.monitor.has_connected_to_other("pool", "e2", since=0.0))


class PeerReachabilityTest(unittest.TestCase):
    """Reports of other instances hold until a newer one or until they expire."""

    def setUp(self) -> None:
        self.peers = PeerReachability()

    def test_a_process_that_seems_older_is_heard_once_the_former_report_has_expired(self) -> None:
        """Guards against a process that is ignored, as its clock was set back before its start."""
        self.peers.apply(build_report(incarnation=5, sequence=7), now=10.0)
        late = build_report("pool", incarnation=4, sequence=1)
        self.assertFalse(self.peers.apply(late, now=10.0 + REPORT_LIFETIME_S))
        later = 10.1 + REPORT_LIFETIME_S
        self.assertTrue(self.peers.apply(late, now=later))
        self.assertEqual(self.peers.list_blocked("one", now=later), ("pool",))

    def test_a_report_survives_the_datagram(self) -> None:
        report = build_report("pool", "portal")
        self.assertEqual(decode_reachability_report(encode_reachability_report(report)), report)

    def test_malformed_datagrams_are_rejected(self) -> None:
        for data in (b"r", b"r[1]", b'r["one","a","x",1,[]]', b"r{}", b'r["one","a",1,1,7]'):
            with self.assertRaises(MalformedData):
                decode_reachability_report(data)

    def test_an_older_report_changes_nothing(self) -> None:
        """Guards against reports that are forwarded without end, or arrive out of order."""
        self.assertTrue(self.peers.apply(build_report(sequence=2), now=10.0))
        self.assertFalse(self.peers.apply(build_report("pool", sequence=1), now=10.1))
        self.assertFalse(self.peers.apply(build_report("pool", sequence=2), now=10.1))
        self.assertEqual(self.peers.list_blocked("one", now=10.2), ())
        self.assertTrue(self.peers.apply(build_report("pool", incarnation=6), now=10.3))
        self.assertEqual(self.peers.list_blocked("one", now=10.4), ("pool",))

    def test_a_report_that_is_not_repeated_expires(self) -> None:
        """Guards against an instance that stays out of use since the last report was lost."""
        self.peers.apply(build_report("pool"), now=10.0)
        self.assertEqual(self.peers.list_blocked("one", now=10.0 + REPORT_LIFETIME_S), ("pool",))
        self.assertEqual(self.peers.list_blocked("one", now=10.1 + REPORT_LIFETIME_S), ())


if __name__ == "__main__":
    unittest.main()

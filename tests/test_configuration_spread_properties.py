"""Properties of configuration distribution: deltas, increasing versions, accepted sources."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.configuration_delta import (
    CHAIN_CHARACTERS,
    DeltaChain,
    apply_delta,
    create_delta,
)
from guavamast.configuration_spread import (
    ConfigurationOffer,
    ConfigurationSpread,
    ConfigurationState,
    Source,
)

TEXTS = st.text(alphabet="ab\né", max_size=30)
NOW_S = 100.0


def create_spread(*, head: int | None = 0) -> ConfigurationSpread:
    """Return the state of a new instance that has read the head row, or failed to (None)."""
    spread = ConfigurationSpread(now=0.0, seed=1)
    if head is None:
        spread.record_failed_poll(now=NOW_S)
    else:
        spread.record_head(head, now=NOW_S)
    return spread


class DeltaTest(unittest.TestCase):
    """Texts built from older ones by deltas."""

    @given(TEXTS, TEXTS, TEXTS)
    def test_a_delta_gives_the_new_text_or_none(self, old: str, new: str, other: str) -> None:
        delta = create_delta(base=1, old=old, version=2, new=new)
        self.assertEqual(apply_delta(delta, version=1, text=old), new)
        self.assertIn(apply_delta(delta, version=1, text=other), (new, None))
        self.assertIsNone(apply_delta(delta, version=3, text=old))

    def test_the_chain_is_bounded(self) -> None:
        chain = DeltaChain()
        for version in range(2, 12):
            text = "x" * (CHAIN_CHARACTERS // 4)
            chain.append(create_delta(base=version - 1, old="", version=version, new=text))
        self.assertEqual([delta.version for delta in chain.list_since(7)], [8, 9, 10, 11])
        self.assertEqual(chain.list_since(2), ())


class SpreadTest(unittest.TestCase):
    """Which versions an instance puts in force."""

    @given(st.lists(st.tuples(st.integers(0, 6), st.sampled_from(Source)), max_size=12))
    def test_versions_never_go_back(self, offers: list[tuple[int, Source]]) -> None:
        """Texts arrive late, twice and out of order, from peers and the platform."""
        spread = create_spread()
        for version, source in offers:
            before = spread.version, spread.text
            changed = spread.accept(version, f"text {version}", source=source, now=NOW_S)
            self.assertEqual(changed, version > before[0])
            self.assertGreaterEqual(spread.version, before[0])
            if not changed:
                self.assertEqual((spread.version, spread.text), before)

    @given(st.lists(TEXTS, min_size=2, max_size=8), st.integers(0, 7))
    def test_an_offer_brings_a_peer_to_the_same_text(self, texts: list[str], behind: int) -> None:
        ahead, peer = create_spread(), create_spread()
        for version, text in enumerate(texts, start=1):
            ahead.accept(version, text, source=Source.PLATFORM, now=NOW_S)
            if version <= behind:
                peer.accept(version, text, source=Source.PLATFORM, now=NOW_S)
        offer = ahead.create_offer(peer.version)
        if offer is not None:
            self.assertTrue(peer.apply_offer(offer, now=NOW_S))
        self.assertEqual((peer.version, peer.text), (ahead.version, ahead.text))

    def test_a_delta_that_does_not_fit_leads_to_the_whole_text(self) -> None:
        """A peer's delta is based on another text than this instance has.

        Applied anyway, it would put a text in force that nobody accepted. It is dropped, and the
        next request is for the whole text instead of the same delta.
        """
        spread = create_spread()
        spread.accept(1, "mine", source=Source.PLATFORM, now=NOW_S)
        spread.record_peer_version("peer", 2, now=NOW_S)
        self.assertTrue(spread.should_request_from("peer", now=NOW_S))
        self.assertEqual(spread.record_request("peer", now=NOW_S), 1)
        wrong = create_delta(base=1, old="theirs and longer", version=2, new="theirs, changed")
        self.assertFalse(
            spread.apply_offer(ConfigurationOffer(version=2, deltas=(wrong,)), now=NOW_S)
        )
        self.assertEqual(spread.text, "mine")
        later = NOW_S + 1.5
        self.assertTrue(spread.should_request_from("peer", now=later))
        self.assertEqual(spread.record_request("peer", now=later), 0)

    @given(st.lists(st.integers(1, 5), min_size=1, max_size=5))
    def test_a_new_instance_in_an_outage_takes_the_highest_of_several_peers(
        self, versions: list[int]
    ) -> None:
        """The platform is down and one peer, partitioned for an hour, has an old version.

        A new instance that accepted the first peer's version would send work to an endpoint that
        has left since. It waits for several peers and accepts nothing below the highest version.
        """
        spread = create_spread(head=None)
        for number, version in enumerate(versions):
            spread.record_peer_version(f"peer{number}", version, now=NOW_S)
        spread.set_neighbours(14)
        for version in versions:
            taken = spread.accept(version, f"text {version}", source=Source.PEER, now=NOW_S)
            if taken:
                self.assertGreaterEqual(len(versions), 3)
                self.assertEqual(version, max(versions))
        self.assertEqual(bool(spread.version), len(versions) >= 3)

    def test_a_new_instance_with_the_platform_takes_no_less_than_the_head(self) -> None:
        spread = create_spread(head=5)
        self.assertFalse(spread.accept(4, "old", source=Source.PEER, now=NOW_S))
        self.assertEqual(
            spread.compute_state(now=NOW_S, others_known=True), ConfigurationState.WAITING
        )
        self.assertTrue(spread.accept(5, "new", source=Source.PEER, now=NOW_S))

    def test_instance_without_contact_is_isolated_until_contact_returns(self) -> None:
        """An instance loses its peers and the platform while callers still reach it.

        A plan that removes an endpoint may be confirmed elsewhere, and this instance would keep
        sending to it. It rejects new work as not run until it is in contact with anyone. Alone in
        the fleet it keeps serving, since nobody else could have confirmed a plan.
        """
        spread = create_spread()
        spread.accept(1, "text", source=Source.PLATFORM, now=NOW_S)
        late = NOW_S + 9.0
        self.assertEqual(
            spread.compute_state(now=NOW_S + 7.0, others_known=True), ConfigurationState.CURRENT
        )
        self.assertEqual(
            spread.compute_state(now=late, others_known=True), ConfigurationState.ISOLATED
        )
        self.assertEqual(
            spread.compute_state(now=late, others_known=False), ConfigurationState.CURRENT
        )
        spread.record_peer_version("peer", 1, now=late)
        self.assertEqual(
            spread.compute_state(now=late, others_known=True), ConfigurationState.CURRENT
        )

    @given(st.integers(0, 2**32), st.integers(1, 8))
    def test_polls_are_jittered_and_slow_down_in_an_outage(self, seed: int, misses: int) -> None:
        spread = ConfigurationSpread(now=0.0, seed=seed)
        spread.record_head(1, now=10.0)
        self.assertTrue(12.5 <= spread.next_poll_at <= 17.5)
        for _ in range(misses):
            spread.record_failed_poll(now=10.0)
        self.assertLessEqual(spread.next_poll_at, 10.0 + 45.0)

    def test_snapshot_is_read_after_the_peer_transfer_time(self) -> None:
        """All instances see a new head in seconds; a megabyte each would overload the platform."""
        spread = create_spread(head=3)
        self.assertEqual(spread.choose_snapshot(now=NOW_S), 3)
        spread.record_peer_version("peer", 3, now=NOW_S)
        self.assertIsNone(spread.choose_snapshot(now=NOW_S))
        self.assertEqual(spread.choose_snapshot(now=NOW_S + 2.0), 3)


if __name__ == "__main__":
    unittest.main()

"""Property tests of endpoint loads: incremental sums equal sums computed from scratch."""

from __future__ import annotations

import os
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from guavamast.relay.endpoint_load import EndpointLoads, Load

EXAMPLES = int(os.environ.get("GUAVAMAST_EXAMPLES", "100"))
INSTANCES = ("i0", "i1", "i2")
ENDPOINTS = ("e0", "e1", "e2")

loads = st.dictionaries(
    st.sampled_from(ENDPOINTS),
    st.builds(
        Load,
        requests=st.integers(0, 9),
        prefill_tokens=st.integers(0, 9_000),
        kv_tokens=st.integers(0, 9_000),
        pause_sensitive=st.integers(0, 3),
    ),
)
updates = st.lists(
    st.one_of(
        st.tuples(st.just("beat"), st.sampled_from(INSTANCES), loads),
        st.tuples(st.just("notice"), st.sampled_from(INSTANCES), loads),
        st.tuples(st.just("keep"), st.sets(st.sampled_from(INSTANCES)), st.none()),
    ),
    max_size=20,
)


class PeerLoadsTest(unittest.TestCase):
    """Loads from other instances, in any order, are summed by endpoint."""

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(updates)
    @example([("notice", "i0", {"e0": Load()}), ("notice", "i0", {"e0": Load(requests=1)})])
    @example([("beat", "i0", {"e0": Load()}), ("beat", "i0", {})])
    def test_sums_agree_with_the_latest_updates(self, received: list) -> None:
        kept = EndpointLoads()
        latest: dict[str, dict[str, Load]] = {}
        for kind, who, reported in received:
            if kind == "beat":
                kept.replace_peer(who, dict(reported))
                latest[who] = dict(reported)
            elif kind == "notice":
                kept.update_peer(who, dict(reported))
                latest.setdefault(who, {}).update(reported)
            else:
                kept.retain_peers(who)
                latest = {name: known for name, known in latest.items() if name in who}
        for endpoint_id in ENDPOINTS:
            expected = Load()
            for known in latest.values():
                expected.add(known.get(endpoint_id, Load()))
            self.assertEqual(kept.sum_up(endpoint_id), expected)


if __name__ == "__main__":
    unittest.main()

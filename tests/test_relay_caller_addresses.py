"""Tests of the addresses that callers are given."""

from __future__ import annotations

import unittest

from guavamast.relay.caller_addresses import CallerLocation, choose_addresses
from tests.relay_fixtures import build_instance

LOCATION = CallerLocation(region="r", failure_domain="a")


class UnreachingTest(unittest.TestCase):
    """Instances that don't reach the endpoints are left out while enough others are left."""

    def choose(self, names: str, unreaching: str) -> str:
        """Return the names that a caller in domain ``a`` gets; lower case ones are in it."""
        serving = [
            build_instance(name, domain="a" if name.islower() else "b") for name in names.split()
        ]
        chosen = choose_addresses(LOCATION, serving, [], unreaching=set(unreaching.split()))
        return " ".join(address.partition(":")[0] for address in chosen)

    def test_callers_get_those_that_reach_the_endpoints(self) -> None:
        self.assertEqual(self.choose("a b c", "a"), "b c")

    def test_callers_of_a_domain_without_any_get_those_of_others(self) -> None:
        """Guards against callers that only know instances of a failure domain that is cut off."""
        self.assertEqual(self.choose("a b C D", "a b"), "C D")

    def test_callers_get_all_when_few_reach_the_endpoints(self) -> None:
        """Guards against all callers at the few instances that are left."""
        self.assertEqual(self.choose("a b c d", "a b c"), "a b c d")
        self.assertEqual(self.choose("a b", "a b"), "a b")


if __name__ == "__main__":
    unittest.main()

"""Tests of the contents of a plan."""

from __future__ import annotations

import unittest

from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import Configuration
from guavamast.plans import Plan, WarningCode, compute_plan
from tests.test_fleet import VALID_FLEET

BASE = parse_configuration(VALID_FLEET, file="f", version=4)
ACTIVE = VALID_FLEET.replace("state = leaving\n\n[call", "\n[call").replace(
    "[instance entry-04]\nstate = leaving", "[instance entry-04]\nstate = active"
)


def plan(before: str, after: str) -> Plan:
    """Return the plan that changes one text into another."""
    base = parse_configuration(before, file="f", version=4)
    proposed = parse_configuration(after, file="f", version=0)
    return compute_plan(plan_id="p", base=base, proposed=proposed, proposed_by="anna", now=5.0)


class PlansTest(unittest.TestCase):
    """A plan lists all changes and the warnings to review."""

    def list_warnings(self, shown: Plan) -> dict[WarningCode, str]:
        """Return the warnings' messages by code."""
        return {warning.code: warning.message for warning in shown.warnings}

    def test_first_plan_adds_everything(self) -> None:
        base = Configuration(version=0)
        shown = compute_plan(plan_id="p", base=base, proposed=BASE, proposed_by="a", now=0.0)
        self.assertEqual(shown.base_version, 0)
        self.assertEqual({str(change.kind) for change in shown.changes}, {"added"})
        self.assertEqual(len(shown.changes), 10)

    def test_nothing_changes(self) -> None:
        shown = plan(VALID_FLEET, VALID_FLEET + "# a remark\n")
        self.assertEqual(shown.changes, ())
        self.assertIn(WarningCode.NOTHING_CHANGES, self.list_warnings(shown))

    def test_changes_of_nested_values(self) -> None:
        after = VALID_FLEET.replace("concurrent = 64", "concurrent = 65").replace(
            "idempotent = no", "idempotent = yes"
        )
        shown = plan(
            VALID_FLEET,
            after.replace("small, large", "small").replace(
                "[model large]\nversion = 2026-10\n", ""
            ),
        )
        self.assertEqual(
            [str(change) for change in shown.changes],
            [
                "[call portal.pay] idempotent: no -> yes",
                "[endpoint engine-1] models: large, small -> small",
                "[model large] removed",
                "[organisation agence] concurrent: 64 -> 65",
            ],
        )
        warnings = self.list_warnings(shown)
        self.assertIn(WarningCode.CALL_MADE_IDEMPOTENT, warnings)
        self.assertIn("large", warnings[WarningCode.MODEL_WITHOUT_ENDPOINTS])

    def test_drains_and_remaining_capacity(self) -> None:
        shown = plan(ACTIVE, VALID_FLEET)
        self.assertEqual(shown.drains, ("endpoint portal-1", "instance entry-04"))
        warnings = self.list_warnings(shown)
        self.assertIn("payment", warnings[WarningCode.CLASS_WITHOUT_ENDPOINTS])
        payment = next(item for item in shown.capacities if item.class_name == "payment")
        self.assertEqual((payment.slots_before, payment.slots_after), (4, 0))
        self.assertEqual((payment.endpoints_before, payment.endpoints_after), (1, 0))

    def test_lower_capacity_and_removal_without_drain(self) -> None:
        engine = VALID_FLEET[
            VALID_FLEET.index("[endpoint engine-1]") : VALID_FLEET.index("[endpoint portal-1]")
        ]
        second = engine.replace("engine-1", "engine-2").replace("9001", "9002")
        warnings = self.list_warnings(plan(VALID_FLEET + second, VALID_FLEET))
        self.assertIn("from 16 to 8 slots", warnings[WarningCode.CAPACITY_LOWER])
        self.assertIn("engine-2", warnings[WarningCode.REMOVED_WITHOUT_DRAIN])

    def test_endpoints_that_ignore_fencing_numbers(self) -> None:
        ignored = VALID_FLEET.replace("fencing = checked", "fencing = ignored")
        newer = ignored.replace("version = 3", "version = 4")
        shown = plan(ignored, newer)
        self.assertEqual(shown.fencing_ignored, ("engine-1",))
        self.assertIn("engine-1", self.list_warnings(shown)[WarningCode.FENCING_IGNORED])
        quiet = plan(ignored, ignored.replace("slots = 8", "slots = 9"))
        self.assertNotIn(WarningCode.FENCING_IGNORED, self.list_warnings(quiet))

    def test_warns_when_a_higher_tier_can_starve_a_class(self) -> None:
        after = VALID_FLEET.replace("guaranteed_share = 0.1\n", "")
        self.assertIn(
            "nightly", self.list_warnings(plan(VALID_FLEET, after))[WarningCode.CLASS_WITHOUT_SHARE]
        )

"""Property test of concurrent confirmations on a platform that loses responses."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.changes import compute_changes
from guavamast.plan_rows import AUDIT_TABLE, HEAD_TABLE
from guavamast.plan_store import ConfirmationUnknown, PlanConflict, PlanStore
from guavamast.platform_client import PlatformUnavailable
from tests.fake_platform import FakePlatform
from tests.test_fleet import VALID_FLEET

FAULTS = st.sampled_from(["ok", "ok", "down", "lost", "cut", "late", "lost_then_down"])
STEPS = st.lists(
    st.tuples(st.sampled_from(["propose", "confirm", "confirm_twice"]), st.integers(0, 5), FAULTS),
    min_size=1,
    max_size=25,
)


class SimulatedOperators:
    """Runs the calls of several operators and records their results."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        numbers = itertools.count(1)
        self.store = PlanStore(
            platform=self.platform, make_id=lambda: f"p{next(numbers)}", confirm_retry_delay_s=0.0
        )
        self.plans: list[str] = []
        self.accepted: dict[str, set[int]] = {}
        self.conflicts: set[str] = set()
        self.heads: list[int] = []

    async def take_step(self, action: str, number: int, fault: str) -> None:
        """Propose a plan, or confirm one once or several times concurrently."""
        if action == "propose" or not self.plans:
            await self.propose(number)
        else:
            self.platform.faults.append(fault)
            plan = self.plans[number % len(self.plans)]
            other = self.plans[-1]
            calls = [self.confirm(plan)]
            if action == "confirm_twice":
                calls += [self.confirm(plan), self.confirm(other)]
            await asyncio.gather(*calls)
            self.platform.faults.clear()
        row = self.platform.find_row(HEAD_TABLE, "head")
        self.heads.append(row.value["version"] if row.value else 0)

    async def propose(self, number: int) -> None:
        """Propose a changed number of slots."""
        text = VALID_FLEET.replace("slots = 8", f"slots = {number + 1}")
        try:
            self.plans.append((await self.store.propose(text, who="anna", now=0.0)).id)
        except PlatformUnavailable:
            return

    async def confirm(self, plan: str) -> None:
        """Confirm a plan and record the result."""
        try:
            version = (await self.store.confirm(plan, who="anna", now=0.0)).version
        except PlanConflict as conflict:
            self.conflicts.add(plan)
            assert conflict.head_version > conflict.base_version
        except (ConfirmationUnknown, PlatformUnavailable):
            return
        else:
            self.accepted.setdefault(plan, set()).add(version)


class ConfirmationProperties(unittest.TestCase):
    """Each version comes from one plan, each plan gives one version, versions never decrease."""

    @given(STEPS)
    def test_plans_and_versions_map_one_to_one(self, steps: list[tuple[str, int, str]]) -> None:
        asyncio.run(self.check(steps))

    async def check(self, steps: list[tuple[str, int, str]]) -> None:
        """Run the steps and compare the reported results with the stored rows."""
        operators = SimulatedOperators()
        for step in steps:
            await operators.take_step(*step)
        operators.platform.down_calls = 0
        await operators.store.read_head()
        await operators.store.read_head()
        audit = [row.value for row in await operators.platform.scan(AUDIT_TABLE, "")]
        plans = [value["plan"] for value in audit]
        self.assertEqual(len(plans), len(set(plans)), "a plan was applied twice")
        self.assertEqual([value["version"] for value in audit], list(range(1, len(audit) + 1)))
        self.assertEqual(operators.heads, sorted(operators.heads), "the version went back")
        head = await operators.store.read_head()
        self.assertEqual(head.version, len(audit))
        written = {value["plan"]: value["version"] for value in audit}
        for plan, versions in operators.accepted.items():
            self.assertEqual(versions, {written.get(plan)}, "told a version it did not become")
        self.assertFalse(operators.conflicts & set(written), "told a conflict, yet applied")
        await self.check_snapshots(operators, audit)

    async def check_snapshots(self, operators: SimulatedOperators, audit: list[dict]) -> None:
        """Compare the changes of each audit record with the two versions it refers to."""
        for value in audit:
            after = await operators.store.load_version(value["version"])
            before = await operators.store.load_version(value["before_version"])
            if before is not None:
                changes = [str(change) for change in compute_changes(before, after)]
                self.assertEqual(changes, value["changes"])

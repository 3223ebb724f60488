"""Tests of proposing and confirming plans on a platform that fails."""

from __future__ import annotations

import itertools
import unittest

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.findings import FindingsError
from guavamast.plan_rows import AUDIT_TABLE, compute_digest
from guavamast.plan_store import ConfirmationUnknown, PlanConflict, PlanStore
from guavamast.plans import WarningCode
from guavamast.platform_client import PlatformUnavailable
from tests.fake_platform import FakePlatform
from tests.test_fleet import VALID_FLEET

DRAINED = VALID_FLEET.replace("slots = 8", "slots = 8\nstate = leaving")
FASTER = VALID_FLEET.replace("first_token_ms = 400", "first_token_ms = 300")


def make_store(platform: FakePlatform) -> PlanStore:
    """Return a store with the plan ids p1, p2 and so on."""
    numbers = itertools.count(1)
    return PlanStore(
        platform=platform, make_id=lambda: f"p{next(numbers)}", confirm_retry_delay_s=0.0
    )


class PlanStoreTest(unittest.IsolatedAsyncioTestCase):
    """A plan is applied at most once, and the caller learns whether it was."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.store = make_store(self.platform)

    async def accept(self, text: str, *, who: str = "anna") -> int:
        """Propose and confirm a configuration and return its version."""
        plan = await self.store.propose(text, who=who, now=10.0)
        return await self.confirm(plan.id, who=who, now=11.0)

    async def confirm(self, plan_id: str, *, who: str, now: float) -> int:
        """Confirm a plan and return its version."""
        return (await self.store.confirm(plan_id, who=who, now=now)).version

    async def test_first_plan_becomes_version_1_with_its_audit_record(self) -> None:
        self.assertEqual((await self.store.load_configuration()).version, 0)
        self.assertEqual(await self.accept(VALID_FLEET), 1)
        self.assertEqual(await self.accept(FASTER, who="bert"), 2)
        self.assertEqual((await self.store.load_configuration()).text, FASTER)
        self.assertEqual((await self.store.load_version(1)).text, VALID_FLEET)
        self.assertIsNone(await self.store.load_version(3))
        self.assertEqual(await self.store.read_text(2), FASTER)
        self.assertIsNone(await self.store.read_text(3))
        latest, first = await self.store.list_audit(limit=10)
        self.assertEqual(
            (latest.who, latest.plan, latest.version, latest.at), ("bert", "p2", 2, 11)
        )
        self.assertEqual(latest.before_digest, compute_digest(VALID_FLEET))
        self.assertEqual(latest.after_digest, compute_digest(FASTER))
        self.assertEqual(latest.changes, ("[class drafting] first_token_ms: 400 -> 300",))
        self.assertEqual((first.before_version, first.before_digest), (0, ""))

    async def test_proposing_changes_nothing(self) -> None:
        await self.accept(VALID_FLEET)
        plan = await self.store.propose(DRAINED, who="anna", now=12.0)
        self.assertEqual((await self.store.read_head()).version, 1)
        self.assertEqual(await self.store.read_plan(plan.id), plan)
        self.assertIsNone(await self.store.read_accepted_version(plan.id))
        with self.assertRaises(FindingsError):
            await self.store.propose("[class x]\n", who="anna", now=12.0)

    async def test_racing_plans_one_accepted_the_other_shown_the_difference(self) -> None:
        # Two operators compute plans from version 1 and confirm them one after the other. The
        # second would silently undo the first. It gets a conflict that shows the accepted
        # change and its operator, and the first stays in force.
        await self.accept(VALID_FLEET)
        stale = await self.store.propose(DRAINED, who="anna", now=12.0)
        other = await self.store.propose(FASTER, who="bert", now=12.0)
        self.assertEqual(await self.confirm(other.id, who="bert", now=13.0), 2)
        with self.assertRaises(PlanConflict) as caught:
            await self.confirm(stale.id, who="anna", now=13.0)
        self.assertEqual(caught.exception.head_version, 2)
        self.assertEqual([change.after for change in caught.exception.difference], ["300"])
        self.assertEqual([record.who for record in caught.exception.accepted], ["bert"])
        self.assertEqual((await self.store.load_configuration()).text, FASTER)

    async def test_text_edited_while_another_was_accepted(self) -> None:
        # Two operators edit version 1, and the first one's version 2 is accepted. The second
        # plan is computed from version 2 and would silently undo it, so it carries a warning.
        # The version comment is not stored with the text.
        await self.accept(VALID_FLEET)
        await self.accept("# version 1\n" + FASTER)
        self.assertEqual((await self.store.load_configuration()).text, FASTER)
        for version, warned in ((1, True), (2, False)):
            text = f"# version {version}\n{DRAINED}"
            plan = await self.store.propose(text, who="bert", now=12.0)
            codes = [warning.code for warning in plan.warnings]
            self.assertEqual(WarningCode.OLDER_TEXT in codes, warned)
            self.assertEqual(await self.store.read_plan(plan.id), plan)

    async def test_lost_response_is_resolved_by_plan_id(self) -> None:
        # The platform applies the write but its response is lost, so the instance sees an error
        # for a plan that is in force. It retries the transaction, gets a conflict and finds its
        # plan's id in the confirmations: the plan was accepted once.
        await self.accept(VALID_FLEET)
        for fault in ("lost", "cut", "late"):
            plan = await self.store.propose(FASTER, who="anna", now=12.0)
            self.platform.faults.extend([fault])
            version = await self.confirm(plan.id, who="anna", now=13.0)
            self.assertEqual(version, plan.base_version + 1, fault)
            self.assertEqual((await self.store.read_head()).version, version, fault)
        self.assertEqual(len(await self.platform.scan(AUDIT_TABLE, "")), 4)

    async def test_outage_after_the_write_is_unknown_until_retried(self) -> None:
        # The write takes effect, its response is lost, and the platform goes down before the
        # instance can read the outcome. The operator gets "unknown", never "not accepted";
        # confirming again after the outage returns the version without a second write.
        plan = await self.store.propose(VALID_FLEET, who="anna", now=10.0)
        self.platform.faults.append("lost_then_down")
        with self.assertRaises(ConfirmationUnknown):
            await self.confirm(plan.id, who="anna", now=11.0)
        writes = len(self.platform.applied)
        self.assertEqual(await self.confirm(plan.id, who="anna", now=12.0), 1)
        self.assertEqual(len(self.platform.applied), writes)
        self.assertEqual((await self.store.list_audit(limit=9))[0].at, 11.0)

    async def test_outage_before_the_write_raises_unavailable(self) -> None:
        plan = await self.store.propose(VALID_FLEET, who="anna", now=10.0)
        self.platform.faults.append("down")
        with self.assertRaises(PlatformUnavailable):
            await self.confirm(plan.id, who="anna", now=11.0)
        self.assertEqual((await self.store.read_head()).version, 0)

    async def test_unknown_plan(self) -> None:
        with self.assertRaises(GuavamastError) as caught:
            await self.confirm("p9", who="anna", now=1.0)
        self.assertEqual(caught.exception.code, ErrorCode.NOT_FOUND)

    async def test_damaged_text_is_rejected(self) -> None:
        await self.accept(VALID_FLEET)
        name = next(iter(self.platform.objects))
        self.platform.objects[name] = b"[class x]"
        with self.assertRaises(PlatformUnavailable):
            await self.store.load_configuration()

    async def test_audit_reads_back_over_pages(self) -> None:
        for number in range(1, 231):
            text = VALID_FLEET.replace("slots = 8", f"slots = {number}")
            self.assertEqual(await self.accept(text), number)
        versions = [record.version for record in await self.store.list_audit(limit=150)]
        self.assertEqual(versions, list(range(230, 80, -1)))

"""Tests of the decisions on requests by the parts of their prompts."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.platform.standins.engine import EngineStandIn
from guavamast.relay.caller_gate import Admitted
from guavamast.relay.counters import Counters
from guavamast.relay.messages import PromptPart
from guavamast.relay.quarantine import (
    CrashGuard,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    name_part,
)
from guavamast.relay.quarantine import guard as guard_module
from guavamast.relay.quarantine.ledger import TRIAL_AFTER_S
from tests.relay_fixtures import build_endpoint, build_request
from tests.test_relay_quarantine_guard import CrashGuardTest, build_progress, build_response

if TYPE_CHECKING:
    from guavamast.relay.request_progress import RequestProgress

PROMPT = (
    PromptPart(part_id="common", tokens=10),
    PromptPart(part_id="dead", tokens=10),
    PromptPart(part_id="own", tokens=10),
)
REQUEST = build_request(prompt_parts=PROMPT)
SOUND = build_request(target="/status/9", prompt_parts=(PROMPT[0], PROMPT[2]))
PART = name_part("dead")


class CrashGuardPartsTest(unittest.IsolatedAsyncioTestCase):
    """Requests with a part in quarantine are refused, whoever sends them."""

    asyncSetUp = CrashGuardTest.asyncSetUp
    read_time = CrashGuardTest.read_time

    def build_progress_of(self, key: str) -> RequestProgress:
        """Return the state of a request with an organisation's key."""
        progress = build_progress()
        catalog = progress.admitted.catalog
        progress.admitted = Admitted(
            catalog=catalog,
            route=progress.admitted.route,
            organisation=catalog.find_organisation(key),
        )
        return progress

    def end_endpoints(self, *attributes: str, count: int = 4) -> None:
        """Record ends that other requests with some attributes have caused, a second apart."""
        for number in range(count):
            self.store.now += 1.0
            lost = {LostAttribute(attribute=one, organisation=None) for one in attributes}
            incarnation = EndpointIncarnation(
                endpoint_id=f"{attributes[0]}-{number}", started_ms=None
            )
            end = EndpointEnd(
                incarnation=incarnation, ended_at=self.store.now, lost=frozenset(lost)
            )
            self.ledger.record_end(end, now=self.store.now)

    def hold(self) -> None:
        self.end_endpoints(PART)
        self.store.now += 2.0
        self.assertEqual(len(self.ledger.decide(now=self.store.now).held), 1)

    def answer(self, *, status: int = 200, framed: bool = True, began_s_ago: float = 0.0) -> None:
        began_at = self.store.now - began_s_ago
        response = build_response(status=status, began_at=began_at, framed=framed)
        (record,) = self.store.fleet_state.endpoints.list_all() or [build_endpoint("alive")]
        self.guard.record_response(REQUEST, build_progress(), record, response)

    async def test_a_held_part_refuses_requests_of_all_organisations(self) -> None:
        """Guards against a part that ends engines for each further organisation."""
        self.hold()
        for progress in (build_progress(), self.build_progress_of("good")):
            denied = await self.guard.admit(REQUEST, progress)
            assert denied is not None
            self.assertEqual((denied.status, denied.attribute), (503, PART))

    async def test_a_request_without_it_is_not_refused(self) -> None:
        """Guards against refusing sound requests that share all but the part."""
        self.hold()
        self.assertIsNone(await self.guard.admit(SOUND, build_progress()))

    async def test_the_check_before_the_send_counts_no_refusal(self) -> None:
        """Guards against a refusal that is counted twice, as it is found and as it is told."""
        self.hold()
        with mock.patch.object(Counters, "add") as add:
            self.assertTrue(self.guard.is_quarantined(REQUEST, build_progress()))
            add.assert_not_called()
            self.assertIsNotNone(self.guard.find_denial(REQUEST, build_progress()))
            add.assert_called_once_with("quarantine_refusals_total")

    async def test_the_last_part_is_no_reason(self) -> None:
        self.hold()
        request = build_request(prompt_parts=(PROMPT[0], PROMPT[1]))
        self.assertIsNone(await self.guard.admit(request, build_progress()))

    async def test_a_lost_request_charges_its_shared_parts(self) -> None:
        """Guards against a part that is listed as if it were one organisation's alone."""
        progress = self.build_progress_of("good")
        with mock.patch.object(CrashGuard, "_check_listening"):
            self.guard.record_loss(REQUEST, progress, build_endpoint("e1"))
        end = self.losses.confirm("e1")
        assert end is not None
        owners = {lost.attribute: lost.organisation for lost in end.lost}
        assert progress.attributes is not None
        digest = progress.attributes[0]
        expected = {digest: "bakery", name_part("common"): None, PART: None}
        self.assertEqual(owners, expected)

    async def test_an_endpoint_that_bears_few_rejections_charges_parts_alone(self) -> None:
        """Guards against a part that ends engines unseen where engines end under load, too."""
        self.limits.record("portal", now=self.store.now)
        with mock.patch.object(CrashGuard, "_check_listening"):
            self.guard.record_loss(REQUEST, build_progress(), build_endpoint("e1"))
        end = self.losses.confirm("e1")
        assert end is not None
        lost = {one.attribute for one in end.lost}
        self.assertEqual(lost, {name_part("common"), PART})

    async def test_an_answer_that_went_on_charges_no_parts(self) -> None:
        """Guards against suspicion of all parts of the streams that an end breaks off."""
        progress = build_progress()
        self.guard.record_lasting(REQUEST, progress, began_at=self.store.now)
        with mock.patch.object(CrashGuard, "_check_listening"):
            self.guard.record_loss(REQUEST, progress, build_endpoint("e1"))
        end = self.losses.confirm("e1")
        assert end is not None
        self.assertEqual(len(end.lost), 1)

    async def test_a_whole_answer_clears(self) -> None:
        self.end_endpoints(PART)
        self.answer()
        self.assertFalse(self.ledger.is_suspected(PART))

    async def test_an_error_of_the_caller_does_not_clear_a_part(self) -> None:
        """Guards against an engine that rejects a request before it runs it."""
        self.end_endpoints(PART)
        for status in (400, 404, 429):
            self.answer(status=status)
        self.assertTrue(self.ledger.is_suspected(PART))

    async def test_an_answer_clears_as_of_its_begin(self) -> None:
        self.end_endpoints(PART)
        self.answer(began_s_ago=1.0)
        self.assertEqual(self.ledger.count_ends(PART), 1)

    async def test_an_answer_that_goes_on_clears_parts_alone(self) -> None:
        self.end_endpoints(PART)
        progress = build_progress()
        self.guard.record_lasting(REQUEST, progress, began_at=self.store.now)
        self.assertFalse(self.ledger.is_suspected(PART))
        assert progress.attributes is not None
        digest = progress.attributes[0]
        self.end_endpoints(digest)
        self.guard.record_lasting(REQUEST, progress, began_at=self.store.now)
        self.assertTrue(self.ledger.is_suspected(digest))

    async def test_an_unframed_answer_clears_if_its_engine_is_still_there(self) -> None:
        """Guards against deployments without framing, in which no answer would clear anything."""
        self.end_endpoints(PART)
        with mock.patch.object(guard_module, "UNFRAMED_DELAY_S", 0.02):
            self.answer(framed=False)
            self.assertTrue(self.ledger.is_suspected(PART))
            await asyncio.sleep(0.2)
        self.assertFalse(self.ledger.is_suspected(PART))

    async def test_an_unframed_answer_without_suspects_is_remembered(self) -> None:
        """Guards against deployments without framing, in which all parts would seem common."""
        self.end_endpoints(name_part("other"))
        self.answer(framed=False)
        self.end_endpoints(PART, count=1)
        progress = build_progress()
        self.assertIsNone(await self.guard.admit(REQUEST, progress))
        self.assertFalse(self.guard.forbids_retry(progress, build_endpoint("e9")))

    async def test_an_unframed_answer_of_an_ended_engine_clears_nothing(self) -> None:
        """Guards against a stream that ends between two events as its engine ends."""
        engine = EngineStandIn(engine_id="ended")
        port = await engine.listen()
        await engine.stop()
        record = build_endpoint("ended", port=port)
        self.store.fleet_state.endpoints.apply([record], digest="2", recovering=False)
        self.end_endpoints(PART)
        response = build_response(began_at=self.store.now, framed=False)
        with mock.patch.object(guard_module, "UNFRAMED_DELAY_S", 0.02):
            self.guard.record_response(REQUEST, build_progress(), record, response)
            await asyncio.sleep(0.2)
        self.assertTrue(self.ledger.is_suspected(PART))

    async def test_an_unframed_answer_of_an_unlisted_engine_clears_nothing(self) -> None:
        """Guards against an engine that has ended and whose address another one answers at."""
        self.end_endpoints(PART)
        (record,) = self.store.fleet_state.endpoints.list_all()
        response = build_response(began_at=self.store.now, framed=False)
        self.store.fleet_state.endpoints.apply([], digest="2", recovering=False)
        with mock.patch.object(guard_module, "UNFRAMED_DELAY_S", 0.02):
            self.guard.record_response(REQUEST, build_progress(), record, response)
            await asyncio.sleep(0.2)
        self.assertTrue(self.ledger.is_suspected(PART))

    async def test_an_unframed_answer_of_an_engine_that_lost_requests_clears_nothing(self) -> None:
        """Guards against an engine that is back at its address before it is looked for."""
        self.end_endpoints(PART)
        (record,) = self.store.fleet_state.endpoints.list_all()
        response = build_response(began_at=self.store.now, framed=False)
        with mock.patch.object(guard_module, "UNFRAMED_DELAY_S", 0.02):
            self.guard.record_response(REQUEST, build_progress(), record, response)
            self.guard.record_loss(SOUND, build_progress(), record)
            await asyncio.sleep(0.2)
        self.assertTrue(self.ledger.is_suspected(PART))

    async def test_a_request_with_a_part_of_another_end_is_not_sent_again(self) -> None:
        """Guards against one arrival that ends as many engines as it may go to."""
        self.end_endpoints(PART, count=1)
        progress = build_progress()
        self.assertIsNone(await self.guard.admit(REQUEST, progress))
        self.assertTrue(self.guard.forbids_retry(progress, build_endpoint("e9")))

    async def test_a_common_part_forbids_no_retry_before_it_could_be_cleared(self) -> None:
        """Guards against sound requests that lose their second send while anything is suspected."""
        self.answer()
        self.end_endpoints(PART, count=1)
        progress = build_progress()
        self.assertIsNone(await self.guard.admit(REQUEST, progress))
        self.assertFalse(self.guard.forbids_retry(progress, build_endpoint("e9")))
        self.store.now += 2.0
        self.assertTrue(self.guard.forbids_retry(progress, build_endpoint("e9")))

    async def test_a_trial_of_a_part_does_not_release_a_request_that_is_held_too(self) -> None:
        """Guards against two trials of one request, for its content and for a part."""
        self.hold()
        self.store.now += TRIAL_AFTER_S
        progress = build_progress()
        self.assertIsNone(await self.guard.admit(REQUEST, progress))
        self.assertEqual(progress.trials, {PART})
        self.assertIsNone(self.guard.find_denial(REQUEST, progress))
        assert progress.attributes is not None
        self.end_endpoints(progress.attributes[0], count=3)
        self.store.now += 1.0
        self.ledger.decide(now=self.store.now)
        self.assertIsNotNone(self.guard.find_denial(REQUEST, progress))


if __name__ == "__main__":
    unittest.main()

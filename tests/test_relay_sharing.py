"""Tests of the ledger of organisations, and of the admission that uses it."""

from __future__ import annotations

import unittest
from random import Random

from guavamast.relay.heartbeat_messages import LoadUpdate
from guavamast.relay.heartbeat_wire import decode_message, encode_load_update
from guavamast.relay.placement.admission import WaitParameters
from guavamast.relay.placement.admission_control import AdmissionControl
from guavamast.relay.placement.admission_history import AdmissionHistory, WaitingPrecedence
from guavamast.relay.placement.engine_forecast import Forecast
from guavamast.relay.placement.engine_profile import EngineProfile
from guavamast.relay.placement.obstacle import ObstacleKind
from guavamast.relay.placement.waiting import RoomCheck
from guavamast.relay.requester import Requester
from guavamast.relay.scheduled_work import ScheduledWork
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)
from guavamast.relay.sharing import ShareKey, ShareLedger, SharingPolicy, compute_work_ms
from tests.scheduling_simulation import GROUP, POOL

BIG = ShareKey(POOL, 0, "big")
SMALL = ShareKey(POOL, 0, "small")
NOW = 10.0


class ShareLedgerTest(unittest.TestCase):
    """Claims of waiting attempts before others."""

    def setUp(self) -> None:
        self.ledger = ShareLedger()

    def serve(self, ledger: ShareLedger, big_ms: float, small_ms: float) -> None:
        """Charge both organisations, neither of which was idle before."""
        ledger.record_request(BIG, now=NOW)
        ledger.record_request(SMALL, now=NOW)
        ledger.charge(BIG, big_ms, now=NOW)
        ledger.charge(SMALL, small_ms, now=NOW)

    def wait(self, ledger: ShareLedger, key: ShareKey, attempts: int) -> None:
        """Record attempts of 100 ms each that check again soon."""
        for number in range(attempts):
            ledger.record_waiting(
                key, attempt=f"{key.organisation}{number}", work_ms=100.0, wait_s=0.03, now=NOW
            )

    def test_less_served_goes_first(self) -> None:
        """Failure: the organisation that requests most takes the room of the others."""
        self.serve(self.ledger, 1_000.0, 100.0)
        self.wait(self.ledger, SMALL, 2)
        self.wait(self.ledger, BIG, 5)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 2)
        self.assertEqual(self.ledger.find_claims(SMALL, now=NOW).attempts, 0)
        self.assertEqual(self.ledger.find_claims(SMALL, now=NOW).behind, 5)

    def test_claims_end_with_the_deficit(self) -> None:
        """Failure: an organisation slightly behind blocks others with all that it has waiting."""
        self.serve(self.ledger, 350.0, 200.0)
        self.wait(self.ledger, SMALL, 9)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 2)

    def test_weight(self) -> None:
        """Failure: weights are ignored, and equal work counts as equal shares."""
        ledger = ShareLedger(SharingPolicy(weights={"big": 10.0}))
        self.serve(ledger, 900.0, 100.0)
        self.wait(ledger, BIG, 1)
        self.wait(ledger, SMALL, 1)
        self.assertEqual(ledger.find_claims(BIG, now=NOW).attempts, 0)
        self.assertEqual(ledger.find_claims(SMALL, now=NOW).attempts, 1)

    def test_disabled(self) -> None:
        """Failure: organisations share although operators have switched it off."""
        ledger = ShareLedger(SharingPolicy(enabled=False))
        self.serve(ledger, 900.0, 100.0)
        self.wait(ledger, SMALL, 1)
        self.assertEqual(ledger.find_claims(BIG, now=NOW).attempts, 0)

    def test_idle_time_earns_nothing(self) -> None:
        """Failure: an organisation that was idle goes before all others for seconds."""
        self.ledger.record_request(BIG, now=NOW)
        self.ledger.charge(BIG, 1_000.0, now=NOW)
        self.ledger.record_request(SMALL, now=NOW)
        self.wait(self.ledger, SMALL, 3)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 0)

    def test_other_precedence_claims_nothing(self) -> None:
        """Failure: a request yields to a less urgent one of another organisation."""
        self.serve(self.ledger, 1_000.0, 0.0)
        self.wait(self.ledger, ShareKey(POOL, 1, "small"), 3)
        self.ledger.replace_peer_waiting("i2", self.ledger.list_waiting(now=NOW), now=NOW)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 0)

    def test_more_urgent_precedence_claims_nothing(self) -> None:
        """Failure: what ranks decide is decided again by shares."""
        key = ShareKey(POOL, 1, "big")
        self.ledger.record_request(key, now=NOW)
        self.ledger.charge(key, 1_000.0, now=NOW)
        self.wait(self.ledger, SMALL, 3)
        self.assertEqual(self.ledger.find_claims(key, now=NOW).attempts, 0)

    def test_weight_of_the_deficit(self) -> None:
        """Failure: an organisation of a great weight gets no more places than one of weight 1."""
        ledger = ShareLedger(SharingPolicy(weights={"small": 3.0}))
        self.serve(ledger, 200.0, 0.0)
        self.wait(ledger, SMALL, 9)
        self.assertEqual(ledger.find_claims(BIG, now=NOW).attempts, 6)

    def test_claim_of_a_gone_attempt_expires(self) -> None:
        """Failure: an attempt whose caller has left keeps others out forever."""
        self.serve(self.ledger, 1_000.0, 0.0)
        self.wait(self.ledger, SMALL, 1)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW + 0.1).attempts, 1)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW + 0.2).attempts, 0)

    def test_silent_instance_blocks_nothing(self) -> None:
        """Failure: claims of an instance that is no longer heard keep others out forever."""
        other = ShareLedger()
        self.wait(other, SMALL, 2)
        self.serve(self.ledger, 1_000.0, 0.0)
        self.ledger.replace_peer_waiting("i2", other.list_waiting(now=NOW), now=NOW)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 2)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW + 0.2).attempts, 0)

    def test_work_served_elsewhere_counts(self) -> None:
        """Failure: an organisation spreads over instances and gets a share at each of them."""
        other = ShareLedger()
        self.serve(other, 0.0, 5_000.0)
        self.wait(other, SMALL, 1)
        self.serve(self.ledger, 1_000.0, 0.0)
        self.ledger.replace_peer_waiting("i2", other.list_waiting(now=NOW), now=NOW)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 1)
        self.ledger.replace_peer_served("i2", other.list_served(now=NOW), now=NOW)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 0)

    def test_instance_without_messages_shares_its_own(self) -> None:
        """Failure: an instance that hears nothing of the others decides nothing by itself."""
        self.serve(self.ledger, 1_000.0, 0.0)
        self.ledger.replace_peer_waiting("i2", [], now=NOW)
        self.ledger.retain_peers(set())
        self.wait(self.ledger, SMALL, 1)
        self.assertEqual(self.ledger.find_claims(BIG, now=NOW).attempts, 1)

    def test_quiet_fleet_publishes_nothing(self) -> None:
        """Failure: heartbeats grow although nobody waits."""
        self.serve(self.ledger, 1_000.0, 100.0)
        self.assertEqual(self.ledger.list_served(now=NOW), [])
        self.wait(self.ledger, SMALL, 1)
        self.assertEqual(len(self.ledger.list_served(now=NOW)), 2)
        self.assertEqual(self.ledger.list_served(now=NOW + 3.0), [])

    def test_load_update_carries_organisations(self) -> None:
        """Failure: what waits of an organisation is lost on the way to other instances."""
        self.wait(self.ledger, SMALL, 2)
        waiting = WaitingPrecedence(
            service=POOL, precedence=0, attempts=2, delayed=False, remaining_s=0.13
        )
        update = LoadUpdate(
            instance="i1",
            incarnation=1,
            loads={},
            sends=[],
            waiting=[waiting],
            organisations=self.ledger.list_waiting(now=NOW),
        )
        decoded = decode_message(encode_load_update(update))
        assert isinstance(decoded, LoadUpdate)
        self.assertEqual(decoded.organisations[0].key, SMALL)
        self.assertEqual(decoded.organisations[0].attempts, 2)


class ShareAdmissionTest(unittest.TestCase):
    """Admission of requests whose organisation was served more than that of waiting ones."""

    def setUp(self) -> None:
        self.ledger = ShareLedger()
        self.control = AdmissionControl(
            history=AdmissionHistory(), random=Random(1), decides_alone=True, shares=self.ledger
        )
        self.ledger.record_request(BIG, now=NOW)
        self.ledger.record_request(SMALL, now=NOW)
        self.ledger.charge(BIG, 1_000.0, now=NOW)
        self.ledger.record_waiting(SMALL, attempt="s", work_ms=100.0, wait_s=0.03, now=NOW)

    def admit(self, organisation: str, *, waiting_ms: float) -> ObstacleKind | None:
        """Return the obstacle of a request of 100 ms at one engine."""
        check = RoomCheck(attempt=organisation, last=False)
        parameters = WaitParameters(objective_s=0.4)
        terms = self.control.prepare(
            parameters,
            service=POOL,
            precedence=0,
            check=check,
            now=NOW,
            organisation=organisation,
        )
        forecast = Forecast(start_ms=50.0, waiting_ms=waiting_ms, prefill_ms=100.0)
        survey = terms.survey([waiting_ms])
        rejection = self.control.admit(forecast, survey, check=check, now=NOW)
        return rejection.obstacle.kind if rejection and rejection.obstacle else None

    def test_the_more_served_yields(self) -> None:
        """Failure: the last place goes to the organisation that was served more."""
        self.assertIs(self.admit("big", waiting_ms=190.0), ObstacleKind.SHARE)
        self.assertIsNone(self.admit("small", waiting_ms=190.0))

    def test_no_engine_idles(self) -> None:
        """Failure: an engine without work is kept for attempts that have yet to check again."""
        for number in range(9):
            self.ledger.record_waiting(
                SMALL, attempt=f"s{number}", work_ms=100.0, wait_s=0.03, now=NOW
            )
        self.assertIs(self.admit("big", waiting_ms=110.0), ObstacleKind.SHARE)
        self.assertIsNone(self.admit("big", waiting_ms=0.0))

    def test_those_that_yield_do_not_compete(self) -> None:
        """Failure: few attempts compete by lot with the many of the organisation that yields."""
        history = AdmissionHistory()
        control = AdmissionControl(history=history, random=Random(1), shares=self.ledger)
        for number in range(5):
            attempt = f"b{number}"
            history.record_waiting(POOL, 0, attempt=attempt, delayed=False, wait_s=0.03, now=NOW)
            self.ledger.record_waiting(BIG, attempt=attempt, work_ms=100.0, wait_s=0.03, now=NOW)
        terms = control.prepare(
            WaitParameters(objective_s=0.4),
            service=POOL,
            precedence=0,
            check=RoomCheck(attempt="new"),
            now=NOW,
            organisation="small",
        )
        self.assertEqual(terms.competitors, 0)

    def test_retry_follows_the_claims(self) -> None:
        """Failure: callers are told to return while others still go before them."""
        few_s = self.reject_big()
        for number in range(8):
            self.ledger.record_waiting(
                SMALL, attempt=f"s{number}", work_ms=100.0, wait_s=0.03, now=NOW
            )
        self.assertGreater(self.reject_big(), few_s + 0.3)

    def reject_big(self) -> float:
        """Return the delay that a request is told which yields."""
        parameters = WaitParameters(objective_s=0.4)
        check = RoomCheck(attempt="big", last=False)
        control = AdmissionControl(history=AdmissionHistory(), random=Random(1), shares=self.ledger)
        terms = control.prepare(
            parameters, service=POOL, precedence=0, check=check, now=NOW, organisation="big"
        )
        forecast = Forecast(start_ms=50.0, waiting_ms=190.0, prefill_ms=100.0)
        rejection = control.admit(forecast, terms.survey([190.0]), check=check, now=NOW)
        assert rejection is not None
        return rejection.retry_after_s

    def test_admitted_work_is_charged(self) -> None:
        """Failure: work is not charged, so the same organisation is admitted again and again."""
        self.admit("small", waiting_ms=190.0)
        self.assertEqual(self.ledger.read_served(SMALL, now=NOW), 100.0)


class ScheduledSharesTest(unittest.TestCase):
    """Work that a scheduler learns of from reports."""

    def test_new_scheduler_counts_running_work(self) -> None:
        """Failure: a scheduler replaced in mid-surge takes all organisations as equal."""
        work = ScheduledWork()
        report = WorkReport(
            requester=Requester(instance="i1", incarnation=1),
            group=GROUP,
            works=tuple(
                PlacedWork(
                    number=number,
                    endpoint_id="e0",
                    phase=WorkPhase.RUNNING,
                    shared_part=None,
                    uncached_tokens=5_000,
                    kv_tokens=5_200,
                    pause_sensitive=False,
                    organisation="big",
                    precedence=0,
                )
                for number in range(3)
            ),
        )
        work.apply_report(report, now=NOW)
        work.apply_report(report, now=NOW)
        self.assertEqual(work.shares.read_served(BIG, now=NOW), 300.0)
        rejected = WorkUpdate(
            requester=report.requester, group=GROUP, number=0, phase=WorkPhase.REJECTED
        )
        work.apply_update(rejected, now=NOW)
        self.assertEqual(work.shares.read_served(BIG, now=NOW), 200.0)

    def test_long_prompt_costs_its_length(self) -> None:
        """Failure: organisations with long prompts get several times the engine time of others."""
        profile = EngineProfile(read_tokens_per_ms=50.0, token_ms=4.0)
        cost_ms = compute_work_ms(profile, uncached_tokens=5_000, output_tokens=320, slots=64)
        self.assertEqual(cost_ms, 120.0)


if __name__ == "__main__":
    unittest.main()

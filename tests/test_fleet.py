"""Tests of reading and checking a fleet configuration."""

from __future__ import annotations

import unittest

from guavamast.findings import FindingCode, FindingsError
from guavamast.fleet import check_configuration, parse_configuration
from guavamast.fleet_objects import EndpointKind, EndpointState, Fencing

KEY_A = "a" * 64
KEY_B = "b" * 64
VALID_FLEET = f"""\
[class drafting]
tier = 1
first_token_ms = 400
token_interval_ms = 30
completion_s = 30

[class nightly]
tier = 3
first_token_ms = 60000
token_interval_ms = 200
completion_s = 7200
guaranteed_share = 0.1
queue_limit = 500

[class payment]
tier = 1
first_token_ms = 2000
token_interval_ms = 2000
completion_s = 10

[organisation agence]
key_sha256 = {KEY_A}
requests_per_second = 20
concurrent = 64
classes = chat:drafting,
    summary:nightly, pay:payment

[endpoint engine-1]
kind = engine
url = http://127.0.0.1:9001/
failure_domain = namur-a
models = small, large
slots = 8
fencing = checked

[endpoint portal-1]
kind = service
service = portal
url = http://127.0.0.1:9101
failure_domain = namur-a
slots = 4
state = leaving

[call portal.pay]
idempotent = no
timeout_s = 20

[model small]
version = 3
[model large]
version = 2026-10
[instance entry-04]
state = leaving
"""


def list_codes(text: str) -> list[tuple[int, str]]:
    """Return line and code of each finding."""
    findings = check_configuration(text, file="fleet.ini")
    return [(finding.line, finding.code) for finding in findings]


class FleetTest(unittest.TestCase):
    """A valid configuration is parsed; an invalid one is rejected with all of its findings."""

    def test_reads_every_section(self) -> None:
        fleet = parse_configuration(VALID_FLEET, file="fleet.ini", version=7)
        self.assertEqual((fleet.version, fleet.text), (7, VALID_FLEET))
        self.assertEqual(fleet.classes["nightly"].queue_limit, 500)
        contract = fleet.organisations["agence"].contract
        self.assertEqual(
            dict(contract.classes),
            {"chat": "drafting", "summary": "nightly", "pay": "payment"},
        )
        engine, portal = fleet.endpoints["engine-1"], fleet.endpoints["portal-1"]
        self.assertEqual((engine.kind, engine.fencing), (EndpointKind.ENGINE, Fencing.CHECKED))
        self.assertEqual(engine.url, "http://127.0.0.1:9001")
        self.assertEqual((portal.service, portal.state), ("portal", EndpointState.LEAVING))
        self.assertEqual(portal.fencing, Fencing.IGNORED)
        self.assertFalse(fleet.calls["portal", "pay"].idempotent)
        self.assertEqual(fleet.leaving_instances, frozenset({"entry-04"}))

    def test_classes_of_one_tier_are_rejected_only_where_they_share_endpoints(self) -> None:
        # drafting and payment are both of tier 1, but one runs at the engine, one at the service.
        self.assertEqual(list_codes(VALID_FLEET), [])
        shared = VALID_FLEET.replace("pay:payment", "pay:payment, mail:payment")
        self.assertEqual(list_codes(shared), [(16, FindingCode.DUPLICATE_TIER)])

    def test_reports_all_findings_together(self) -> None:
        text = VALID_FLEET.replace("tier = 3", "tier = 3\ntier = 2").replace("= 0.1", "= 1.5")
        text = text.replace("completion_s = 10", "completion_s = 10 min")
        text = text.replace("chat:drafting", "chat:draftng").replace("kind = service", "knd = s")
        text = text.replace("models = small,", "models = smal,").replace("[model large]", "large]")
        text = text.replace(KEY_A, KEY_A.upper()).replace("[call portal.pay]", "[call portl.pay]")
        self.assertEqual(
            list_codes(text),
            [
                (9, FindingCode.DUPLICATE_KEY),
                (13, FindingCode.OUT_OF_RANGE),
                (20, FindingCode.WRONG_UNIT),
                (23, FindingCode.BAD_VALUE),
                (26, FindingCode.UNDEFINED_REFERENCE),
                (33, FindingCode.UNDEFINED_REFERENCE),
                (33, FindingCode.UNDEFINED_REFERENCE),
                (37, FindingCode.MISSING_KEY),
                (38, FindingCode.UNKNOWN_KEY),
                (45, FindingCode.UNDEFINED_REFERENCE),
                (51, FindingCode.SYNTAX),
                (52, FindingCode.DUPLICATE_KEY),
            ],
        )
        with self.assertRaises(FindingsError) as caught:
            parse_configuration(text, file="fleet.ini", version=1)
        self.assertEqual(len(caught.exception.findings), 12)

    def test_suggests_the_nearest_name_and_the_unit(self) -> None:
        text = VALID_FLEET.replace(
            "tier = 1\nfirst_token_ms = 400", "teir = 1\nfirst_token_ms = 0.4s"
        )
        findings = check_configuration(text, file="fleet.ini")
        messages = "\n".join(map(str, findings))
        self.assertIn("did you mean tier?", messages)
        self.assertIn("fleet.ini:3: wrong_unit first_token_ms: '0.4s'", messages)
        self.assertIn("write 400", messages)

    def test_rejects_missing_capacity_and_too_large_shares(self) -> None:
        text = VALID_FLEET.replace("kind = engine", "kind = service\nservice = x").replace(
            "models = small, large\n", ""
        )
        codes = [code for _, code in list_codes(text)]
        self.assertEqual(codes.count(FindingCode.NO_CAPACITY), 2, "the two models")
        shares = VALID_FLEET.replace("= 0.1", "= 0.6").replace(
            "completion_s = 10", "completion_s = 1\nguaranteed_share = 0.41"
        )
        self.assertEqual(
            list_codes(shares), [(17, FindingCode.OUT_OF_RANGE), (20, FindingCode.SHARE_SUM)]
        )

    def test_keys_and_urls_are_unique(self) -> None:
        second = VALID_FLEET[
            VALID_FLEET.index("[organisation agence]") : VALID_FLEET.index("[endpoint portal-1]")
        ]
        text = VALID_FLEET + second.replace("agence", "other").replace("engine-1", "engine-2")
        self.assertEqual([code for _, code in list_codes(text)], [FindingCode.DUPLICATE_VALUE] * 2)

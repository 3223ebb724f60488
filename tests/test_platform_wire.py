"""Tests of the adapter's decoders with valid and arbitrary input from the platform."""

from __future__ import annotations

import ast
import contextlib
import re
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.findings import FindingsError
from guavamast.platform.catalog_wire import decode_catalog
from guavamast.platform.endpoint_wire import decode_endpoint
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.settings import decode_settings
from guavamast.relay.catalog import RouteKind
from guavamast.relay.messages import PromptPart, SendParameters

SOURCE = Path(__file__).resolve().parent.parent / "src" / "guavamast"
SETTINGS = {
    "node_name": "front-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "r",
    "listen": {"front": "10.1.0.40:82", "readiness": "10.1.0.40:83", "directory": "10.1.0.40:84"},
    "internal_ports": [7340, 7355],
    "bounds": {
        "strict_revocation": True,
        "revoke_ms": 5000,
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "budget_slack": 108,
        "budget_window_s": 10,
    },
    "platform": {"address": "10.200.1.7:8223"},
    "new_field": {"of": "a later platform"},
}
ENDPOINT = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "ready",
    "seq": 4,
    "cold_left_ms": 0,
    "version": "v1.2",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


class SettingsTest(unittest.TestCase):
    """Settings are decoded completely, or all findings are reported."""

    def test_settings_are_decoded(self) -> None:
        settings = decode_settings(SETTINGS, file="f")
        self.assertEqual(str(settings.callers), "10.1.0.40:82")
        self.assertEqual(settings.peers.port, 7340)
        self.assertEqual(settings.revocation_s, 5.0)

    def test_link_rate_is_optional_but_validated(self) -> None:
        self.assertEqual(decode_settings(SETTINGS, file="f").link_mbps, 0.0)
        wide = SETTINGS | {"limits": {"link_mbps": 100.0}}
        self.assertEqual(decode_settings(wide, file="f").link_mbps, 100.0)
        with self.assertRaises(FindingsError):
            decode_settings(SETTINGS | {"limits": {"link_mbps": "wide"}}, file="f")

    def test_memory_and_its_pressure_are_optional(self) -> None:
        plain = decode_settings(SETTINGS, file="f")
        self.assertEqual((plain.memory_bytes, plain.memory_pressure), (0, False))
        stated = SETTINGS | {"limits": {"memory_mb": 152}, "contracts": ["base", "pressure"]}
        settings = decode_settings(stated, file="f")
        self.assertEqual(settings.memory_bytes, 152 * 1024 * 1024)
        self.assertTrue(settings.memory_pressure)
        self.assertFalse(decode_settings(SETTINGS | {"contracts": 5}, file="f").memory_pressure)

    def test_all_findings_at_once(self) -> None:
        broken = SETTINGS | {"ip": 5, "listen": {"front": "nowhere"}, "zone": None}
        with self.assertRaises(FindingsError) as caught:
            decode_settings(broken, file="f")
        paths = {finding.message.partition(":")[0] for finding in caught.exception.findings}
        self.assertEqual(paths, {"ip", "listen.front", "zone"})


class EndpointWireTest(unittest.TestCase):
    """A row yields one endpoint or none; it never prevents the others from being decoded."""

    def test_states(self) -> None:
        for state, ready in (("ready", True), ("draining", False)):
            record = decode_endpoint("i", ENDPOINT | {"state": state}, row_version=3)
            assert record is not None
            self.assertEqual((record.ready, record.port), (ready, 8080))
        self.assertIsNone(decode_endpoint("i", ENDPOINT | {"state": "odd"}, row_version=3))

    def test_a_row_without_one_of_its_fields_names_no_endpoint(self) -> None:
        """Guards against a row of another writer by which another service's engine is used."""
        for name in ENDPOINT:
            fields = {key: value for key, value in ENDPOINT.items() if key != name}
            with self.subTest(name), self.assertRaises(MalformedData):
                decode_endpoint("i", fields, row_version=3)

    def test_a_row_with_a_field_of_another_type_names_no_endpoint(self) -> None:
        """Guards against the same where a text stands for a number, or a number for a text."""
        for name, value in ENDPOINT.items():
            others = (
                ("8", None, True, [value], {}, -1) if isinstance(value, int) else (7, None, "", [])
            )
            for other in others:
                with self.subTest(name, other=other), self.assertRaises(MalformedData):
                    decode_endpoint("i", ENDPOINT | {name: other}, row_version=3)
        for name, other in (("born", "1"), ("born", 1.5), ("leaves_ms", "1"), ("leaves_ms", -1)):
            with self.subTest(name, other=other), self.assertRaises(MalformedData):
                decode_endpoint("i", ENDPOINT | {name: other}, row_version=3)

    @given(fields=JSON)
    def test_rows_of_unknown_shape_are_malformed(self, fields: object) -> None:
        with self.assertRaises(MalformedData):
            decode_endpoint("i", fields, row_version=1)

    @given(name=st.sampled_from(sorted(ENDPOINT)), value=JSON)
    def test_a_wrong_field_raises_only_the_typed_error(self, name: str, value: object) -> None:
        with contextlib.suppress(MalformedData):
            decode_endpoint("i", ENDPOINT | {name: value}, row_version=1)

    def test_an_address_that_fails_at_connecting_is_malformed(self) -> None:
        """Guards against requests that are closed without an answer, for want of an address."""
        addresses = ("engine..:8428", "engine:8428", "10.1.1.1:\u00b2", "10.1.1.1:70000", "1.2.3:1")
        for address in addresses:
            with self.subTest(address), self.assertRaises(MalformedData):
                decode_endpoint("i", ENDPOINT | {"address": address}, row_version=1)

    def test_an_id_that_no_header_can_carry_is_malformed(self) -> None:
        """Guards against an engine to which each request fails while its head is encoded."""
        for key in ("", "i 1", "i\n1", "li\u00e8ge-1"):
            with self.subTest(key), self.assertRaises(MalformedData):
                decode_endpoint(key, ENDPOINT, row_version=1)


class CatalogWireTest(unittest.TestCase):
    """The operators' configuration is decoded into the relay's types."""

    def test_routes_services_and_keys(self) -> None:
        fields = {
            "version": 7,
            "routes": [
                {
                    "name": "r1",
                    "host": "h",
                    "path_prefix": "/p/",
                    "kind": "streaming",
                    "timeout_ms": 12000,
                    "target_latency_ms": 300,
                    "priority": 0,
                    "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
                    "max_attempts": 2,
                    "resumable": True,
                    "target_gap_ms": 200,
                }
            ],
            "services": [{"name": "x", "max_connections": 720, "engine": {"slots": 64}}],
            "limits": {"max_header_bytes": 100},
            "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
        }
        catalog = decode_catalog(fields, row_version=9)
        route = catalog.find_route("h", "/p/x")
        assert route is not None
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertEqual((route.timeout_s, route.objective_s, route.urgency), (12.0, 0.3, 0))
        self.assertTrue(route.needs_key and route.repeatable)
        organisation = catalog.find_organisation("k")
        assert organisation is not None
        self.assertEqual((organisation.name, organisation.urgency), ("t", 1))


class RequestHeadersTest(unittest.TestCase):
    """Headers that the relay sets never come from a caller, and keys are never forwarded."""

    def setUp(self) -> None:
        self.codec = PlatformHeaders()

    def forward_headers(self, *headers: tuple[str, str]) -> dict[str, str]:
        request = self.codec.decode_request(
            method="POST", target="/p", headers=list(headers), body=b"x", arrived=0.0
        )
        parameters = SendParameters(
            endpoint_id="i-1",
            organisation="bakery",
            remaining_s=1.25,
            urgency=2,
            resume_after=None,
        )
        return {
            name.lower(): value for name, value in self.codec.encode_request(request, parameters)
        }

    def test_callers_cannot_set_the_relays_headers(self) -> None:
        forged = ("X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch")
        sent = self.forward_headers(
            *((name, "forged") for name in (*forged, "X-Expect-Instance", "X-Request-Urgency")),
            ("Authorization", "Bearer k"),
            ("X-Request-Deadline-Ms", "90000"),
            ("Connection", "close, X-Private"),
            ("X-Private", "1"),
            ("X-Model", "m"),
        )
        self.assertNotIn("forged", sent.values())
        self.assertNotIn("authorization", sent)
        self.assertNotIn("x-private", sent)
        self.assertEqual(sent["x-tenant"], "bakery")
        self.assertEqual(sent["x-expect-instance"], "i-1")
        self.assertEqual(sent["x-request-deadline-ms"], "1250")
        self.assertEqual(sent["x-model"], "m")

    def test_request_headers_are_decoded(self) -> None:
        request = self.codec.decode_request(
            method="POST",
            target="/p?q=1",
            headers=[
                ("Authorization", "Bearer k"),
                ("X-Prompt-Prefix", "5c:800,91:410"),
                ("X-Token-Usage", "1210,80"),
                ("X-Request-Deadline-Ms", "1500"),
            ],
            body=b"",
            arrived=0.0,
        )
        parts = (PromptPart(part_id="5c", tokens=800), PromptPart(part_id="91", tokens=410))
        self.assertEqual(request.prompt_parts, parts)
        self.assertEqual((request.prompt_tokens, request.output_tokens), (1210, 80))
        self.assertEqual((request.api_key, request.timeout_s, request.path), ("k", 1.5, "/p"))

    def test_response_headers_are_decoded(self) -> None:
        head = self.codec.decode_response(
            200,
            [
                ("X-Engine-Seal", "s"),
                ("X-Attempt-Id", "r"),
                ("Keep-Alive", "timeout=3"),
                ("Content-Length", "5"),
            ],
        )
        self.assertTrue(head.signed)
        self.assertEqual((head.request_id, head.keep_alive_s), ("r", 3.0))
        self.assertEqual([name for name, _ in head.headers], ["X-Engine-Seal", "X-Attempt-Id"])
        self.assertTrue(self.codec.decode_response(421, []).not_run)
        self.assertFalse(self.codec.decode_response(503, []).not_run)
        self.assertTrue(self.codec.decode_response(503, [("X-Not-Executed", "1")]).not_run)


class BoundaryTest(unittest.TestCase):
    """Names of the platform occur in the adapter only."""

    def list_modules(self) -> list[Path]:
        adapter = SOURCE / "platform"
        commands = SOURCE / "commands.py"
        return [
            path
            for path in SOURCE.rglob("*.py")
            if adapter not in path.parents and path != commands
        ]

    def test_nothing_imports_the_adapter(self) -> None:
        for path in self.list_modules():
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom):
                    names = [node.module or ""]
                elif isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                else:
                    continue
                for name in names:
                    self.assertNotEqual(name.split(".")[:2], ["guavamast", "platform"], path)

    def test_nothing_else_knows_the_platforms_headers_and_calls(self) -> None:
        words = re.compile(
            r"X-Attempt|X-Engine|X-Not-Exec|X-Expect|X-Tenant|rows-get|rows-tx|api_keys"
            r"|target_latency_ms|max_attempts|strict_revocation|\btenants?\b",
            re.IGNORECASE,
        )
        for path in (SOURCE / "relay").rglob("*.py"):
            self.assertIsNone(words.search(path.read_text(encoding="utf-8")), path)


if __name__ == "__main__":
    unittest.main()

"""Tests of the operators' HTTP interface over real sockets."""

from __future__ import annotations

import hashlib
import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any
from unittest import TestCase

from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from guavamast.clocks import SystemClock
from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import Configuration
from guavamast.fleet_status import FleetStatus, InstanceStatus, StatusSource
from guavamast.operator_handlers import build_operator_routes
from guavamast.operator_tokens import CallerKeyDirectory, TokenFileAuthenticator, look_up_operator
from tests.fake_platform import FakePlatform
from tests.test_fleet import VALID_FLEET
from tests.test_plan_store import FASTER, make_store

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse


class FakeDaemon(StatusSource, CallerKeyDirectory):
    """Test double of the entry daemon."""

    def __init__(self) -> None:
        self.configuration = Configuration(version=0)
        self.fails_to_accept = False

    def read_status(self) -> FleetStatus:
        behind = InstanceStatus(
            name="entry-02",
            failure_domain="liege-a",
            region="be-wallonie",
            state="live",
            configuration_version=0,
            caller_address="127.0.0.1:2",
            load=1.0,
        )
        return FleetStatus(
            answered_by="entry-01",
            configuration_version=self.configuration.version,
            instances=(behind,),
        )

    def read_configuration(self) -> Configuration:
        return self.configuration

    def accept(self, configuration: Configuration) -> None:
        if self.fails_to_accept:
            raise RuntimeError("not now")
        self.configuration = configuration

    def has_key(self, key_sha256: str) -> bool:
        return key_sha256 == hashlib.sha256(b"callers-key").hexdigest()


class OperatorsTest(AsyncHTTPTestCase):
    """Operators can plan, confirm and read; all other clients are rejected."""

    def get_httpserver_options(self) -> dict[str, Any]:
        return {"max_body_size": 100_000_000}

    def get_app(self) -> Application:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.tokens = Path(directory.name) / "tokens"
        self.tokens.write_text("# operators\nanna secret-a\nbert secret-b\n")
        self.platform = FakePlatform()
        self.daemon = FakeDaemon()
        routes = build_operator_routes(
            store=make_store(self.platform),
            authenticator=TokenFileAuthenticator(path=self.tokens, callers=self.daemon),
            status=self.daemon,
            clock=SystemClock(),
            on_accepted=self.daemon.accept,
        )
        return Application(routes, log_function=lambda _: None)

    def call(
        self, path: str, body: str | bytes | None = None, *, token: str = "secret-a"
    ) -> HTTPResponse:
        """Send a request."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        method = "GET" if body is None else "POST"
        return self.fetch(path, method=method, body=body, headers=headers)

    def read(self, response: HTTPResponse, status: int) -> Any:
        """Check the status and return the response's JSON."""
        self.assertEqual(response.code, status, response.body)
        return json.loads(response.body)

    def test_first_plan_of_a_fleet_without_configuration(self) -> None:
        self.assertEqual(self.read(self.call("/v1/configuration"), 200)["version"], 0)
        plan = self.read(self.call("/v1/plans", VALID_FLEET), 201)
        self.assertEqual(plan["base_version"], 0)
        self.assertEqual(plan["proposed_by"], "anna")
        self.assertEqual(self.read(self.call("/v1/configuration"), 200)["text"], "")
        path = f"/v1/plans/{plan['id']}"
        self.assertIsNone(self.read(self.call(path), 200)["accepted_version"])
        self.assertEqual(self.read(self.call(f"{path}/confirm", ""), 200), {"version": 1})
        self.assertEqual(self.daemon.configuration.text, VALID_FLEET)
        self.assertEqual(self.read(self.call(path), 200)["accepted_version"], 1)
        self.assertEqual(self.read(self.call("/v1/configuration"), 200)["text"], VALID_FLEET)
        self.assertEqual(self.read(self.call("/v1/configuration?version=1"), 200)["version"], 1)
        record = self.read(self.call("/v1/audit"), 200)["records"][0]
        self.assertEqual((record["who"], record["version"]), ("anna", 1))

    def test_reports_all_findings(self) -> None:
        error = self.read(self.call("/v1/plans", "[class a]\ntier = x\n[b]\n"), 400)["error"]
        self.assertEqual(error["code"], "configuration_invalid")
        self.assertEqual(len(error["findings"]), 5)
        self.assertEqual(error["findings"][-1]["line"], 3)

    def test_conflict_shows_the_difference(self) -> None:
        first = self.read(self.call("/v1/plans", VALID_FLEET), 201)["id"]
        second = self.read(self.call("/v1/plans", FASTER, token="secret-b"), 201)["id"]
        self.read(self.call(f"/v1/plans/{second}/confirm", "", token="secret-b"), 200)
        error = self.read(self.call(f"/v1/plans/{first}/confirm", ""), 409)["error"]
        self.assertEqual((error["code"], error["outcome"]), ("plan_conflict", "not_run"))
        self.assertEqual((error["base_version"], error["head_version"]), (0, 1))
        self.assertEqual(error["accepted"][0]["who"], "bert")
        self.assertEqual(len(error["difference"]), 10)

    def test_unknown_outcome_and_outage(self) -> None:
        plan = self.read(self.call("/v1/plans", VALID_FLEET), 201)["id"]
        self.platform.faults.append("lost_then_down")
        response = self.call(f"/v1/plans/{plan}/confirm", "")
        self.assertEqual(self.read(response, 503)["error"]["outcome"], "outcome_unknown")
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.read(self.call(f"/v1/plans/{plan}/confirm", ""), 200)["version"], 1)
        self.daemon.configuration = parse_configuration(VALID_FLEET, file="f", version=1)
        self.platform.down_calls = 2
        shown = self.read(self.call("/v1/configuration"), 200)
        self.assertEqual((shown["version"], shown["source"]), (1, "instance"))
        self.assertEqual(self.read(self.call("/v1/audit"), 503)["error"]["outcome"], "not_run")

    def test_confirmation_succeeds_when_the_local_update_fails(self) -> None:
        # The version is in force on the platform, so an error response would mislead the
        # operator. The response names the version; instances pick it up by polling.
        plan = self.read(self.call("/v1/plans", VALID_FLEET), 201)["id"]
        self.daemon.fails_to_accept = True
        with self.assertLogs("absl", "ERROR"):
            response = self.call(f"/v1/plans/{plan}/confirm", "")
        self.assertEqual(self.read(response, 200), {"version": 1})

    def test_rejects_requests_without_an_operator_token(self) -> None:
        paths = ["/v1/plans", "/v1/plans/p1/confirm", "/v1/plans/p1", "/v1/configuration"]
        for path in [*paths, "/v1/status", "/v1/audit"]:
            body = "" if path.endswith(("plans", "confirm")) else None
            for token, status in {"": 401, "wrong": 401, "callers-key": 403}.items():
                error = self.read(self.call(path, body, token=token), status)["error"]
                self.assertEqual(error["outcome"], "not_run")
        self.assertEqual(self.platform.applied, [])
        self.assertEqual(self.call("/v1/status").code, 200)
        self.tokens.write_text("anna secret-c\n")
        self.assertEqual(self.call("/v1/status").code, 401)
        self.tokens.unlink()
        with self.assertLogs("absl", "ERROR"):
            self.assertEqual(self.call("/v1/status").code, 401)

    def test_status_lists_instances_on_older_versions(self) -> None:
        plan = self.read(self.call("/v1/plans", VALID_FLEET), 201)["id"]
        self.call(f"/v1/plans/{plan}/confirm", "")
        status = self.read(self.call("/v1/status"), 200)
        self.assertEqual((status["configuration_version"], status["behind"]), (1, ["entry-02"]))

    def test_bad_requests(self) -> None:
        self.assertEqual(self.call("/v1/plans", b"\xff\xfe").code, 400)
        self.assertEqual(self.call("/v1/plans/nothing").code, 404)
        self.assertEqual(self.call("/v1/plans/nothing/confirm", "").code, 404)
        self.assertEqual(self.call("/v1/configuration?version=7").code, 404)
        for limit in ("0", "-1", "x", "1" * 30, "1e3"):
            self.assertEqual(self.call(f"/v1/audit?limit={limit}").code, 400)
        self.assertEqual(self.call("/v1/plans", VALID_FLEET + "#" * 2_000_000).code, 201)

    def test_large_bodies_are_rejected_unbuffered(self) -> None:
        # An endless body would exhaust the entry's memory, even without a token. The connection
        # is closed at the handler's own limit, although this listener accepts 100 megabytes.
        for path, size, token in (
            ("/v1/plans", 9_000_000, "secret-a"),
            ("/v1/plans", 9_000_000, ""),
            ("/v1/plans/p1/confirm", 5000, "secret-a"),
        ):
            self.assertIn(self.call(path, b"#" * size, token=token).code, (400, 401, 599))


class TokensTest(TestCase):
    """Malformed lines of a token file authenticate nobody."""

    def test_lines_that_are_not_name_and_token(self) -> None:
        lines = ["", "anna", "# x", "#anna secret", "a b c", "bert right"]
        self.assertEqual(look_up_operator("right", lines), "bert")
        for token in ("", "anna", "secret", "b", "c", "x", "ри"):
            self.assertEqual(look_up_operator(token, lines), "")

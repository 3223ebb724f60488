"""Tests of the command line against the operators' interface over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from guavamast.cli import run
from guavamast.clocks import SystemClock
from guavamast.fleet_objects import EndpointState
from guavamast.operator_handlers import build_operator_routes
from guavamast.operator_tokens import TokenFileAuthenticator
from guavamast.state_edits import set_state
from tests.fake_platform import FakePlatform
from tests.test_fleet import VALID_FLEET
from tests.test_operator_handlers import FakeDaemon
from tests.test_plan_store import FASTER, make_store
from tests.test_settings import VALID_SETTINGS as SETTINGS


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


def run_command(*words: str) -> CommandResult:
    """Run one command in this process."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run(words)
    return CommandResult(code=code, out=out.getvalue(), err=err.getvalue())


class OperatorCommandsTest(unittest.IsolatedAsyncioTestCase):
    """Operators' commands and the exit codes that scripts rely on."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.tokens = self.write("tokens", "anna secret-a\n")
        self.platform = FakePlatform()
        self.daemon = FakeDaemon()

    async def asyncSetUp(self) -> None:
        routes = build_operator_routes(
            store=make_store(self.platform),
            authenticator=TokenFileAuthenticator(path=Path(self.tokens), callers=self.daemon),
            status=self.daemon,
            clock=SystemClock(),
            on_accepted=self.daemon.accept,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application(routes, log_function=lambda _: None))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    async def run_operator_command(self, *words: str) -> CommandResult:
        """Run an operator's command in a thread, since the server uses the event loop."""
        options = ["--via", self.url, "--token-file", self.tokens]
        return await asyncio.to_thread(run_command, *words, *options)

    async def plan(self, text: str) -> str:
        """Propose a configuration and return the plan's id."""
        result = await self.run_operator_command("plan", "--json", self.write("fleet.ini", text))
        self.assertEqual(result.code, 0, result.err)
        return json.loads(result.out)["id"]

    async def test_plan_confirm_and_read(self) -> None:
        path = self.write("fleet.ini", VALID_FLEET)
        shown = await self.run_operator_command("plan", path)
        self.assertEqual((shown.code, shown.err), (0, ""))
        self.assertIn("plan p1 against version 0", shown.out)
        self.assertIn("[class drafting] added", shown.out)
        confirmed = await self.run_operator_command("confirm", "p1")
        self.assertEqual((confirmed.code, confirmed.out), (0, "version 1\n"))
        show = await self.run_operator_command("show")
        self.assertEqual(show.out, f"# version 1\n{VALID_FLEET}\n")
        audit = await self.run_operator_command("audit")
        self.assertRegex(audit.out, r"1 +\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ +anna +p1 +10 ")
        status = await self.run_operator_command("status")
        self.assertRegex(status.out, r"entry-02 +liege-a +live +0 ")
        self.assertIn("not yet at the latest version: entry-02", status.out)
        for command in ("status", "audit", "show"):
            self.assertIsInstance(
                json.loads((await self.run_operator_command(command, "--json")).out), dict
            )

    async def test_findings_name_the_operators_file(self) -> None:
        path = self.write("fleet.ini", "[class a]\ntier = 0\n")
        result = await self.run_operator_command("plan", path)
        self.assertEqual((result.code, result.out), (2, ""))
        self.assertIn(f"{path}:2: out_of_range tier: 0 is not", result.err)
        self.assertEqual(len(result.err.splitlines()), 4)

    async def test_conflict_and_unknown_have_their_exit_codes(self) -> None:
        first, second = await self.plan(VALID_FLEET), await self.plan(FASTER)
        self.assertEqual((await self.run_operator_command("confirm", second)).code, 0)
        conflict = await self.run_operator_command("confirm", first)
        self.assertEqual(conflict.code, 3)
        self.assertTrue(conflict.err.startswith("plan_conflict plan p1 "))
        self.assertIn("anna", conflict.err)
        third = await self.plan(VALID_FLEET)
        self.platform.faults.append("lost_then_down")
        unknown = await self.run_operator_command("confirm", third)
        self.assertEqual(unknown.code, 4)
        self.assertIn(f"`guavamast confirm {third} --via {self.url}", unknown.err)
        again = await self.run_operator_command("confirm", third)
        self.assertEqual((again.code, again.out), (0, "version 2\n"))

    async def test_confirm_is_unknown_when_the_connection_closes(self) -> None:
        # The connection closes without a response after the confirmation is sent. The plan may
        # be in force, so the command must not report a failure.
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.assertEqual((await self.run_operator_command("confirm", "p1")).code, 4)
        self.assertEqual((await self.run_operator_command("status")).code, 1)
        server.close()
        refused = await self.run_operator_command("confirm", "p1")
        self.assertEqual(refused.code, 1)
        self.assertTrue(refused.err.startswith("unreachable "))

    async def test_drain_is_a_plan(self) -> None:
        await self.run_operator_command("confirm", await self.plan(VALID_FLEET))
        drained = json.loads(
            (await self.run_operator_command("drain", "endpoint", "engine-1", "--json")).out
        )
        self.assertEqual(drained["drains"], ["endpoint engine-1"])
        self.assertEqual([change["key"] for change in drained["changes"]], ["state"])
        back = json.loads(
            (
                await self.run_operator_command("drain", "endpoint", "portal-1", "--undo", "--json")
            ).out
        )
        self.assertEqual([change["after"] for change in back["changes"]], ["active"])
        result = await self.run_operator_command("drain", "instance", "entry-02")
        self.assertIn("[instance entry-02] added", result.out)
        for what, name in (("endpoint", "engine-9"), ("instance", "entry-9")):
            result = await self.run_operator_command("drain", what, name)
            self.assertEqual(result.code, 1)
            self.assertTrue(result.err.startswith("not_found "), result.err)
        self.assertEqual((await self.run_operator_command("drain", "cluster", "x")).code, 2)

    async def test_rejects_an_unknown_token(self) -> None:
        self.tokens = self.write("other", "wrong\n")
        result = await self.run_operator_command("status")
        self.assertEqual(result.code, 1)
        self.assertTrue(result.err.startswith("unauthenticated "))


class LocalCommandsTest(unittest.TestCase):
    """Invalid command lines and files yield one line with an error code, no traceback."""

    def test_surplus_argument_runs_nothing(self) -> None:
        # fire detects a surplus argument only after calling the function, so a plan could be
        # confirmed although a usage error is reported. Nothing listens on port 1: the error
        # "unreachable" would show that the command had started.
        options = ["--via", "http://127.0.0.1:1", "--token-file", __file__]
        result = run_command("confirm", "p1", "p2", *options)
        self.assertEqual(result.code, 2)
        self.assertTrue(result.err.startswith("usage Could not consume arg: p2"), result.err)

    def test_usage_errors(self) -> None:
        wrong = [
            ["bogus"],
            ["check"],
            ["plan", "f"],
            ["entry"],
            ["entry", "--settings", "/nowhere/f"],
            ["standin", "disk"],
            ["standin", "engine", "--port", "x"],
            ["status", "--via", "nowhere", "--token-file", "/nowhere/f"],
            ["status", "--via", "http://127.0.0.1:1", "--token-file", "/nowhere/f"],
            ["status", "--via", "http://127.0.0.1:1", "--token-file", __file__],
            ["confirm", "p1", "--", "--interactive"],
            ["audit", "--unknown", "x"],
        ]
        for words in wrong:
            result = run_command(*words)
            self.assertEqual((result.code, result.out), (2, ""), words)
            self.assertEqual(len(result.err.splitlines()), 1, result.err)
        self.assertEqual(run_command().code, 2)
        self.assertEqual(run_command("--help").code, 0)
        self.assertIn("confirm PLAN", run_command("confirm", "--help").out)

    def test_check_distinguishes_settings_from_fleet_files(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            files = {"fleet.ini": VALID_FLEET, "instance.ini": SETTINGS, "empty.ini": "# nothing\n"}
            files["bad.ini"] = VALID_FLEET.replace("tier = 3", "teir = 3")
            files["drain.ini"] = "[instance entry-01]\nstate = gone\n"
            for name, text in files.items():
                (Path(directory) / name).write_text(text)
            good = run_command("check", f"{directory}/fleet.ini", f"{directory}/instance.ini")
            self.assertEqual((good.code, good.out), (0, "no findings\n"))
            bad = run_command("check", *(f"{directory}/{name}" for name in sorted(files)))
            self.assertEqual(bad.code, 2)
            lines = [
                line.removeprefix(f"{directory}/").split(" ")[:2] for line in bad.out.splitlines()
            ]
            self.assertEqual(
                lines,
                [
                    ["bad.ini:7:", "missing_key"],
                    ["bad.ini:8:", "unknown_key"],
                    ["drain.ini:2:", "bad_value"],
                    ["empty.ini:0:", "syntax"],
                ],
            )
            (Path(directory) / "other.ini").write_text(
                SETTINGS.replace("127.0.0.1:0", "10.0.0.1:5", 1)
            )
            twice = run_command("check", f"{directory}/instance.ini", f"{directory}/other.ini")
            self.assertEqual(
                twice.out,
                f"{directory}/other.ini:2: duplicate_value name: entry-01 is also in "
                f"{directory}/instance.ini\n",
            )
            listed = run_command("check", "--json", f"{directory}/bad.ini")
            self.assertEqual([finding["line"] for finding in json.loads(listed.out)], [7, 8])


class StatesTest(unittest.TestCase):
    """`set_state` changes a state in place and leaves all other lines unchanged."""

    def test_sets_and_adds(self) -> None:
        changed = set_state(
            VALID_FLEET, kind="endpoint", name="engine-1", state=EndpointState.LEAVING
        )
        self.assertEqual(changed.replace("\nstate = leaving", "", 1), VALID_FLEET)
        back = set_state(changed, kind="endpoint", name="engine-1", state=EndpointState.ACTIVE)
        self.assertEqual(back, changed.replace("state = leaving", "state = active", 1))
        added = set_state(
            VALID_FLEET, kind="instance", name="entry-09", state=EndpointState.LEAVING
        )
        self.assertEqual(added, VALID_FLEET + "\n[instance entry-09]\nstate = leaving\n")

"""Tests of the operators' commands with processes: races, lost responses and outages."""

from __future__ import annotations

import asyncio
import json
import sys
import unittest
from dataclasses import dataclass

from guavamast.local_fleet import OPERATOR_TOKEN
from tests._processes import ProcessFleet


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


class OperatorProcessTest(unittest.IsolatedAsyncioTestCase):
    """Two instances, the platform and each command run as separate processes."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet(engines=1, services=1)
        self.addCleanup(self.fleet.close)
        await self.fleet.start()
        self.tokens = self.fleet.folder / "my-token"
        self.tokens.write_text(OPERATOR_TOKEN)

    async def run_operator_command(self, number: int, *words: str) -> CommandResult:
        """Run one command via one instance."""
        options = ["--via", self.fleet.urls[number], "--token-file", str(self.tokens)]
        process = await asyncio.create_subprocess_exec(
            *[sys.executable, "-m", "guavamast", *words, *options],
            env={"PYTHONPATH": ":".join(sys.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return CommandResult(code=process.returncode or 0, out=out.decode(), err=err.decode())

    async def plan(self, number: int, rate: int) -> str:
        """Propose a changed rate limit and return the plan's id."""
        text = self.fleet.build_text().replace("second = 1000", f"second = {rate}")
        path = self.fleet.folder / f"fleet-{rate}.ini"
        path.write_text(text)
        result = await self.run_operator_command(number, "plan", str(path), "--json")
        self.assertEqual(result.code, 0, result.err)
        return json.loads(result.out)["id"]

    async def read_versions(self) -> list[int]:
        """Return the accepted versions, newest first."""
        result = await self.run_operator_command(0, "audit", "--json")
        return [record["version"] for record in json.loads(result.out)["records"]]

    async def test_racing_operators(self) -> None:
        # Two operators concurrently confirm plans with the same base via two instances. One plan
        # becomes the next version; the other command exits with 3 and shows the accepted plan.
        plans = [await self.plan(0, 1001), await self.plan(1, 1002)]
        results = await asyncio.gather(
            *(
                self.run_operator_command(number, "confirm", plan)
                for number, plan in enumerate(plans)
            )
        )
        self.assertEqual(sorted(item.code for item in results), [0, 3], results)
        loser = next(item for item in results if item.code == 3)
        self.assertIn("requests_per_second: 1000 -> 100", loser.err)
        self.assertNotIn("Traceback", loser.err)
        await self.fleet.wait_for_version(2, range(2))
        self.assertEqual(await self.read_versions(), [2, 1])
        status = json.loads((await self.run_operator_command(1, "status", "--json")).out)
        self.assertEqual(status["configuration_version"], 2)

    async def test_answers_lost_after_the_write(self) -> None:
        # For a while, the platform applies each write and closes the connection without a
        # response. The command exits with 0, 1 or 4; repeated after the fault, it prints the one
        # version that was created.
        plan = await self.plan(0, 1003)
        await self.fleet.set_fault(self.fleet.platform_url, kind="lose_answers", for_s=0.4)
        first = await self.run_operator_command(0, "confirm", plan)
        self.assertIn(first.code, (0, 1, 4), first)
        await self.fleet.set_fault(self.fleet.platform_url, kind="none")
        again = await self.run_operator_command(1, "confirm", plan)
        self.assertEqual((again.code, again.out), (0, "version 2\n"))
        self.assertEqual(await self.read_versions(), [2, 1])

    async def test_commands_in_an_outage(self) -> None:
        plan = await self.plan(0, 1004)
        await self.fleet.set_fault(self.fleet.platform_url, kind="down")
        for words in (("confirm", plan), ("audit",)):
            result = await self.run_operator_command(0, *words)
            self.assertEqual((result.code, result.out), (1, ""))
            self.assertTrue(result.err.startswith("platform_unavailable "), result.err)
        self.assertEqual((await self.run_operator_command(0, "status")).code, 0)
        shown = await self.run_operator_command(1, "show")
        self.assertEqual((shown.code, shown.out.splitlines()[0]), (0, "# version 1"))
        await self.fleet.set_fault(self.fleet.platform_url, kind="none")
        self.assertEqual((await self.run_operator_command(1, "confirm", plan)).out, "version 2\n")

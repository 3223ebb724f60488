"""The operators' commands against separate processes: races, lost answers, an outage."""

from __future__ import annotations

import asyncio
import json
import sys
import unittest
from dataclasses import dataclass

from guavamast.local_fleet import OPERATOR_TOKEN
from tests._processes import ProcessFleet


@dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """What a command left behind."""

    code: int
    out: str
    err: str


class OperatorProcessTest(unittest.IsolatedAsyncioTestCase):
    """Two instances and the platform as processes; every command is one more."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet(engines=1, services=1)
        self.addCleanup(self.fleet.close)
        await self.fleet.start()
        self.tokens = self.fleet.folder / "my-token"
        self.tokens.write_text(OPERATOR_TOKEN)

    async def operate(self, number: int, *words: str) -> Ended:
        """Run one command via one instance."""
        options = ["--via", self.fleet.urls[number], "--token-file", str(self.tokens)]
        process = await asyncio.create_subprocess_exec(
            *[sys.executable, "-m", "guavamast", *words, *options],
            env={"PYTHONPATH": ":".join(sys.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return Ended(code=process.returncode or 0, out=out.decode(), err=err.decode())

    async def plan(self, number: int, rate: int) -> str:
        """Plan another rate limit and return the plan's id."""
        text = self.fleet.make_text().replace("second = 1000", f"second = {rate}")
        path = self.fleet.folder / f"fleet-{rate}.ini"
        path.write_text(text)
        ended = await self.operate(number, "plan", str(path), "--json")
        self.assertEqual(ended.code, 0, ended.err)
        return json.loads(ended.out)["id"]

    async def read_versions(self) -> list[int]:
        """Return the accepted versions, newest first."""
        ended = await self.operate(0, "audit", "--json")
        return [record["version"] for record in json.loads(ended.out)["records"]]

    async def test_racing_operators(self) -> None:
        # Two operators confirm plans of one version via two instances in the same moment. One
        # becomes the next version; the other exits with 3 and is shown what was accepted.
        plans = [await self.plan(0, 1001), await self.plan(1, 1002)]
        ended = await asyncio.gather(
            *(self.operate(number, "confirm", plan) for number, plan in enumerate(plans))
        )
        self.assertEqual(sorted(item.code for item in ended), [0, 3], ended)
        loser = next(item for item in ended if item.code == 3)
        self.assertIn("requests_per_second: 1000 -> 100", loser.err)
        self.assertNotIn("Traceback", loser.err)
        await self.fleet.wait_for_version(2, range(2))
        self.assertEqual(await self.read_versions(), [2, 1])
        status = json.loads((await self.operate(1, "status", "--json")).out)
        self.assertEqual(status["configuration_version"], 2)

    async def test_answers_lost_after_the_write(self) -> None:
        # The platform writes and closes the connection, for a while each time. The command says
        # accepted or unknown; asked again when it is over, it says the one version that was made.
        plan = await self.plan(0, 1003)
        await self.fleet.fault(self.fleet.platform_url, kind="lose_answers", for_s=0.4)
        first = await self.operate(0, "confirm", plan)
        self.assertIn(first.code, (0, 1, 4), first)
        await self.fleet.fault(self.fleet.platform_url, kind="none")
        again = await self.operate(1, "confirm", plan)
        self.assertEqual((again.code, again.out), (0, "version 2\n"))
        self.assertEqual(await self.read_versions(), [2, 1])

    async def test_commands_in_an_outage(self) -> None:
        plan = await self.plan(0, 1004)
        await self.fleet.fault(self.fleet.platform_url, kind="down")
        for words in (("confirm", plan), ("audit",)):
            ended = await self.operate(0, *words)
            self.assertEqual((ended.code, ended.out), (1, ""))
            self.assertTrue(ended.err.startswith("platform_unavailable "), ended.err)
        self.assertEqual((await self.operate(0, "status")).code, 0)
        shown = await self.operate(1, "show")
        self.assertEqual((shown.code, shown.out.splitlines()[0]), (0, "# version 1"))
        await self.fleet.fault(self.fleet.platform_url, kind="none")
        self.assertEqual((await self.operate(1, "confirm", plan)).out, "version 2\n")

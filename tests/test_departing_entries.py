"""Tests of chats on kept connections while their entry, a real process, leaves."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from typing import TYPE_CHECKING, Final

from soak.kept_callers import KeptCaller, KeptRequest

from guavamast.local_fleet import CALLER_KEY
from tests._processes import ProcessFleet

if TYPE_CHECKING:
    from guavamast.relay.messages import Header

CALLERS: Final = 12
TOKENS: Final = 40
TOKEN_INTERVAL_S: Final = 0.002
"""Seconds between two tokens of an engine that isn't slowed."""
END: Final = b"data: [DONE]\n\n"
"""End of a whole stream of events."""


class ChatCaller(KeptCaller):
    """Caller of streamed chats."""

    def build_headers(self, request_id: str) -> list[Header]:
        return [
            ("Host", "entry"),
            ("Authorization", f"Bearer {CALLER_KEY}"),
            ("X-Request-Id", request_id),
        ]

    def build_body(self, request_id: str) -> bytes:
        prompt = f"tokens={TOKENS};{request_id}"
        messages = [{"role": "user", "content": prompt}]
        return json.dumps({"model": "small", "messages": messages, "stream": True}).encode()


class DepartingEntryTest(unittest.IsolatedAsyncioTestCase):
    """One of two entries gets SIGTERM while callers send on until its process is gone."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet(instances=2, engines=2)
        self.addCleanup(self.fleet.close)

    async def test_chats_shorter_than_the_drain_wait_are_whole(self) -> None:
        """Guards against chats that a leaving entry takes and cuts.

        Callers of before the signal keep their connections, and each sends its next chat as soon
        as the one before has ended. The entry takes chats until addresses have expired, 4 s after
        the signal. Those of the end would be cut 1 s later, as its wait of 5 s began at the signal.
        """
        await self.leave(stream_s=2.5, drain_wait_s=5, address_validity_s=4)
        self.assert_whole_or_not_run()

    async def test_drain_wait_shorter_than_the_validity_of_addresses_cuts_no_short_chat(
        self,
    ) -> None:
        """Guards against a wait that is over before the last chats are taken.

        Callers may hold the address for 3 s, so the entry takes chats as long. Its wait of 1 s was
        over by then, and each chat in flight was ended at once, although it lasts 0.3 s.
        """
        await self.leave(stream_s=0.3, drain_wait_s=1, address_validity_s=3)
        self.assert_whole_or_not_run()

    async def leave(self, *, stream_s: float, drain_wait_s: int, address_validity_s: int) -> None:
        """Stop an entry while callers send, until its process is gone.

        Args:
            stream_s: Seconds that each chat lasts.
            drain_wait_s: Longest time for which it waits for the chats that it has taken.
            address_validity_s: Time for which callers may keep an address.
        """
        path = self.fleet.folder / "instance-0.ini"
        text = path.read_text().partition("[leaving]")[0]
        path.write_text(
            f"{text}[leaving]\ndrain_wait_s = {drain_wait_s}\n"
            f"address_validity_s = {address_validity_s}\n"
        )
        await self.fleet.start()
        for _, url in self.fleet.engines:
            factor = stream_s / TOKENS / TOKEN_INTERVAL_S
            await self.fleet.set_fault(url, kind="straggle", factor=factor)
        entry = self.fleet.entries[0]
        self.requests: list[KeptRequest] = []
        sending = [
            asyncio.create_task(self.call(number, delay_s=number * stream_s / CALLERS))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(1.5 * stream_s)
        self.signalled_at = time.monotonic()
        entry.terminate()
        await asyncio.gather(*sending)
        self.assertEqual(entry.popen.returncode, 0)

    async def call(self, number: int, *, delay_s: float) -> None:
        """Send chats to the first entry until its process is gone."""
        await asyncio.sleep(delay_s)
        caller = ChatCaller(
            name=f"c{number}",
            key=CALLER_KEY,
            choose_address=lambda: self.fleet.settings[0].instance.caller_address,
            choose_target=lambda _: "/v1/chat/completions",
            timeout_ms=0,
            requests=self.requests,
        )
        await caller.run(lambda: self.fleet.entries[0].popen.poll() is not None)

    def assert_whole_or_not_run(self) -> None:
        """Check that each chat has its whole response, or was rejected as not run.

        A caller may find its connection ended before it writes its chat, by the response that
        nothing has run, and knows so. What was written must have its own response. Some chats must
        have been served after the signal.
        """
        served = [one for one in self.requests if one.status == 200]
        self.assertGreater(max(one.sent_at for one in served), self.signalled_at)
        for one in self.requests:
            moment = f"{one}, {one.sent_at - self.signalled_at:.3f} s after the signal"
            if one.status == 200:
                self.assertTrue(one.complete and one.body.endswith(END), moment)
            elif one.status == 503:
                self.assertEqual(json.loads(one.body)["error"]["outcome"], "not_run", moment)
            else:
                self.assertFalse(one.written, moment)


if __name__ == "__main__":
    unittest.main()

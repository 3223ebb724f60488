"""Tests of the timeout of an endpoint's silence."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from guavamast.relay.loop_timeout import suspend_timeout
from guavamast.relay.silence_timeout import SilenceTimeout

SILENCE_S = 0.1


class SilenceTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """An attempt waits for its endpoint."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.claims: list[bool] = []
        """Answers to the next claims of a retry."""
        self.claim_s = 0.0
        """Seconds that a claim takes."""
        self.ended = 0
        """Claims that are over."""

    async def claim(self) -> bool:
        try:
            await asyncio.sleep(self.claim_s)
            return self.claims.pop(0)
        finally:
            self.ended += 1

    async def wait(self, wait_s: float, *, silence_s: float | None = SILENCE_S) -> None:
        async with SilenceTimeout(silence_s=silence_s, claim_retry=self.claim):
            await asyncio.sleep(wait_s)

    async def test_an_attempt_ends_once_its_retry_is_claimed(self) -> None:
        self.claims = [False, True]
        began_at = time.monotonic()
        with self.assertRaises(TimeoutError):
            await self.wait(10.0)
        self.assertGreaterEqual(time.monotonic() - began_at, 1.9 * SILENCE_S)

    async def test_without_a_retry_the_wait_goes_on(self) -> None:
        """Guards against an attempt that is abandoned for nothing."""
        self.claims = [False] * 9
        await self.wait(2.5 * SILENCE_S)
        self.assertEqual(len(self.claims), 7)

    async def test_silence_is_not_counted_where_no_attempt_can_follow(self) -> None:
        await self.wait(2.0 * SILENCE_S, silence_s=None)

    async def test_a_suspended_silence_is_not_over(self) -> None:
        """Guards against an endpoint that is blamed for what this instance waits for."""
        async with SilenceTimeout(silence_s=SILENCE_S, claim_retry=self.claim) as timeout:
            with suspend_timeout(timeout):
                await asyncio.sleep(2.0 * SILENCE_S)

    async def test_a_claim_ends_with_the_silence(self) -> None:
        """Guards against an attempt that is abandoned although its endpoint goes on meanwhile."""
        self.claims = [True]
        self.claim_s = SILENCE_S
        began_at = asyncio.get_running_loop().time()
        async with SilenceTimeout(silence_s=SILENCE_S, claim_retry=self.claim) as timeout:
            await asyncio.sleep(1.5 * SILENCE_S)
            timeout.reschedule(began_at + 10.0 * SILENCE_S)
            await asyncio.sleep(SILENCE_S)
        self.assertEqual((self.claims, self.ended), ([True], 1))

    async def test_a_claim_is_over_before_what_follows_the_attempt(self) -> None:
        """Guards against a lost stream whose one other endpoint is still taken for the retry."""
        self.claim_s = SILENCE_S
        with self.assertRaises(ConnectionError):
            async with SilenceTimeout(silence_s=SILENCE_S, claim_retry=self.claim):
                await asyncio.sleep(1.5 * SILENCE_S)
                raise ConnectionError
        self.assertEqual(self.ended, 1)

    async def test_what_has_arrived_is_read_before_the_silence_is_over(self) -> None:
        """Guards against a sound endpoint that is given up after this process was blocked.

        The response arrives while the process is blocked for longer than the timeout. Both are due
        in the same loop iteration, in which a plain timer would cancel the read.
        """
        self.claims = [True]
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            loop = asyncio.get_running_loop()

            def block() -> None:
                far.sendall(b"x")
                time.sleep(3.0 * SILENCE_S)

            loop.call_later(0.01, block)
            async with SilenceTimeout(silence_s=SILENCE_S, claim_retry=self.claim):
                self.assertEqual(await loop.sock_recv(near, 1), b"x")
            self.assertEqual(self.claims, [True])


if __name__ == "__main__":
    unittest.main()

"""Tests of the account of what one instance holds in memory for others."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.buffering import (
    MAX_BODY_BYTES,
    BodyTooLarge,
    MemoryAccount,
    MemoryUse,
    RequestBody,
    ResponseBody,
    compute_memory_limit,
)
from tests.virtual_time import run_in_virtual_time

MIB = 1024 * 1024
CHUNK = b"x" * 65_536


async def read_body(
    account: MemoryAccount, size: int, *, length: int | None, pause_s: float
) -> int:
    """Read a body in chunks with pauses, release it, and return the bytes read."""
    body = ResponseBody(account=account, length=length)
    try:
        while body.size < size:
            await asyncio.sleep(pause_s)
            await body.append(CHUNK[: size - body.size])
        return len(body.complete())
    finally:
        body.release()


class MemoryLimitTest(unittest.TestCase):
    """The limit follows from the memory of the process."""

    def test_small_and_unknown_memories_have_the_default_limit(self) -> None:
        self.assertEqual(compute_memory_limit(0), 8 * MIB)
        self.assertEqual(compute_memory_limit(72 * MIB), 8 * MIB)
        self.assertEqual(compute_memory_limit(152 * MIB), 44 * MIB)


class MemoryAccountTest(unittest.IsolatedAsyncioTestCase):
    """Reservations wait for room in order."""

    async def test_who_asks_first_is_served_first(self) -> None:
        """Guards against large bodies that wait for ever while small ones pass them."""
        account = MemoryAccount(limit_bytes=100)
        await account.reserve(MemoryUse.RESPONSE, 80)
        order: list[int] = []

        async def wait(size: int) -> None:
            await account.reserve(MemoryUse.RESPONSE, size)
            order.append(size)

        waiting = [asyncio.ensure_future(wait(size)) for size in (90, 10)]
        await asyncio.sleep(0)
        self.assertEqual(account.waiting, 2)
        account.release(MemoryUse.RESPONSE, 80)
        await asyncio.gather(*waiting)
        self.assertEqual(order, [90, 10])

    async def test_a_reservation_that_is_given_up_holds_nothing(self) -> None:
        """Guards against memory that a caller who has left keeps for ever."""
        account = MemoryAccount(limit_bytes=100)
        await account.reserve(MemoryUse.RESPONSE, 100)
        first, second = (
            asyncio.ensure_future(account.reserve(MemoryUse.RESPONSE, 60)) for _ in range(2)
        )
        await asyncio.sleep(0)
        account.release(MemoryUse.RESPONSE, 100)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await second
        self.assertEqual((account.held_bytes, account.waiting), (60, 0))

    async def test_room_that_comes_free_as_a_reservation_is_given_up_is_kept(self) -> None:
        """Guards against an error in place of the cancellation of a caller that has left."""
        account = MemoryAccount(limit_bytes=100)
        await account.reserve(MemoryUse.RESPONSE, 100)
        waiting = asyncio.ensure_future(account.reserve(MemoryUse.RESPONSE, 60))
        await asyncio.sleep(0)
        waiting.cancel()
        account.release(MemoryUse.RESPONSE, 100)
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual((account.held_bytes, account.waiting), (0, 0))


class ResponseBodyTest(unittest.IsolatedAsyncioTestCase):
    """Bodies of an allowed size are read whole, whatever else is held."""

    async def test_a_body_beyond_its_limit_fails(self) -> None:
        """Guards against a body without end that takes all memory."""
        account = MemoryAccount()
        body = ResponseBody(account=account)
        with self.assertRaises(BodyTooLarge):
            while True:
                await body.append(CHUNK)
        body.release()
        self.assertEqual(account.held_bytes, 0)

    async def test_a_body_counts_until_it_is_released(self) -> None:
        """Guards against bodies that count as gone while their callers haven't read them."""
        account = MemoryAccount()
        body = ResponseBody(account=account)
        for _ in range(3):
            await body.append(CHUNK)
        self.assertEqual(account.held_bytes, MAX_BODY_BYTES)
        body.complete()
        self.assertEqual(account.held_bytes, 3 * len(CHUNK))
        body.release()
        body.release()
        self.assertEqual(account.held_bytes, 0)

    @given(
        sizes=st.lists(st.integers(min_value=1, max_value=MAX_BODY_BYTES), min_size=1, max_size=16),
        stated=st.booleans(),
        seed=st.randoms(use_true_random=False),
    )
    @settings(max_examples=40, deadline=None)
    def test_no_bodies_wait_for_each_other(
        self, sizes: list[int], stated: bool, seed: object
    ) -> None:
        """Guards against bodies that each hold a part and wait for the rest of it for ever."""
        account = MemoryAccount(limit_bytes=8 * MIB)

        async def read_all() -> list[int]:
            async with asyncio.timeout(600.0):
                return await asyncio.gather(
                    *(
                        read_body(
                            account,
                            size,
                            length=size if stated else None,
                            pause_s=seed.uniform(0.0, 0.1),  # type: ignore[attr-defined]
                        )
                        for size in sizes
                    )
                )

        self.assertEqual(run_in_virtual_time(read_all()), sizes)
        self.assertEqual(account.held_bytes, 0)


class RequestBodyTest(unittest.TestCase):
    """Bodies of requests count, and large ones aren't accepted while the account is full."""

    def test_a_body_counts_until_its_request_has_ended(self) -> None:
        """Guards against request bodies that take memory which the account doesn't know of."""
        account = MemoryAccount()
        body = RequestBody(account=account, rejects=True)
        body.append(b"a" * 100)
        body.append(b"b" * 50)
        self.assertEqual(account.read_held()[MemoryUse.REQUEST], 150)
        self.assertEqual(body.take(), b"a" * 100 + b"b" * 50)
        self.assertEqual(account.held_bytes, 150)
        body.release()
        body.release()
        self.assertEqual(account.held_bytes, 0)

    def test_only_large_bodies_need_room(self) -> None:
        """Guards against large requests that exceed the memory, and small ones refused for it."""
        account = MemoryAccount(limit_bytes=MIB)
        account.add(MemoryUse.RESPONSE, MIB - 1)
        for rejects, size, accepted in (
            (True, 65_536, True),
            (True, 65_537, False),
            (False, 65_537, True),
        ):
            with self.subTest(rejects=rejects, size=size):
                body = RequestBody(account=account, rejects=rejects)
                self.assertEqual(body.reserve(size), accepted)
                body.release()

    def test_bodies_count_from_their_heads_on(self) -> None:
        """Guards against bodies that all find room as none of their bytes has come."""
        account = MemoryAccount(limit_bytes=10 * MIB)
        bodies = [RequestBody(account=account, rejects=True) for _ in range(4)]
        self.assertEqual([body.reserve(4 * MIB) for body in bodies], [True, True, False, False])
        bodies[0].append(b"a" * MIB)
        self.assertEqual(account.held_bytes, 8 * MIB)
        bodies[0].release()
        self.assertTrue(bodies[2].reserve(4 * MIB))


if __name__ == "__main__":
    unittest.main()

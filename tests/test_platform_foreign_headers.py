"""End-to-end tests of requests whose heads hold what few clients send."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import HOST, KEY, LOOKUP_PREFIX
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Instance

ANSWER_S: Final = 10.0
"""Seconds for one response on a busy machine."""
SERVED: Final = (
    b"X-Note: Li\xe8ge",
    "X-Note: Liège".encode(),
    b"Last-Event-Id: \xb2",
    b"Resumes: r\xe9",
    b"X-Request-Deadline-Ms: nan",
    b"X-Request-Deadline-Ms: 1e999",
    b"X-Request-Deadline-Ms: \xb2",
    b"X-Prompt-Prefix: a:\xb2,b:7",
    b"X-Token-Usage: \xb2,\xb3",
    b"X-Token-Usage: " + b"9" * 2_000 + b",1",
    b"X-Prompt-Prefix: a:" + b"9" * 2_000,
)
"""Headers that don't keep a request from being served."""
REJECTED: Final = (
    (b"Content-Length: abc", LOOKUP_PREFIX.encode()),
    (b"Content-Length: -1", LOOKUP_PREFIX.encode()),
    (b"Content-Length: \xb2", LOOKUP_PREFIX.encode()),
    (b"X-Note: a", LOOKUP_PREFIX.encode() + b"caf\xe9"),
)
"""Headers and targets of requests that nobody can serve."""


class ForeignHeadersTest(PlatformTestCase):
    """A request whose head can't be read or sent on as it is gets a response all the same.

    An error in reading it, or in encoding it for the engine, ends in a connection that is closed
    without an answer: the caller can't tell whether the request has run.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.start_instance()

    async def ask(self, instance: Instance, header: bytes, target: bytes) -> int:
        """Return the status of the response to a request with one more header; 0 without one."""
        host, _, port = instance.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [
            b"GET " + target + b" HTTP/1.1",
            f"Host: {HOST}".encode(),
            f"Authorization: Bearer {KEY}".encode(),
            b"X-Attempt-Id: r1",
            header,
        ]
        writer.write(b"\r\n".join([*head, b"", b""]))
        async with asyncio.timeout(ANSWER_S):
            received = await reader.readline()
        writer.close()
        return int(received.split(b" ")[1]) if received else 0

    async def test_headers_that_are_sent_on_or_ignored(self) -> None:
        """Guards against connections closed without an answer for a header of the caller."""
        for header in SERVED:
            with self.subTest(header[:40]):
                status = await self.ask(self.instance, header, LOOKUP_PREFIX.encode() + b"x")
                self.assertEqual(status, 200)

    async def test_heads_that_nobody_can_serve(self) -> None:
        """Guards against the same where the request is wrong: the caller is told."""
        for header, target in REJECTED:
            with self.subTest(header):
                self.assertEqual(await self.ask(self.instance, header, target), 400)


if __name__ == "__main__":
    unittest.main()

"""Tests of which responses are accepted for a call."""

from __future__ import annotations

import unittest

from guavamast.at_most_once_fetch import AnswerLost, do_nothing
from guavamast.endpoint_sender import EndpointCall, HttpEndpointSender
from tests.test_at_most_once_fetch import RawServer


class EndpointSenderTest(unittest.IsolatedAsyncioTestCase):
    """A response that names another request is never forwarded."""

    async def send(self, request_id_header: str) -> bytes:
        server = RawServer(
            f"HTTP/1.1 200 OK\r\n{request_id_header}Content-Length: 2\r\n\r\nok".encode()
        )
        await server.start()
        self.addCleanup(server.server.close)
        call = EndpointCall(
            url=server.url.removesuffix("/calls/pay"),
            call="pay now/ö",
            body=b"{}",
            content_type="application/json",
            request_id="mine",
            idempotency_key="k",
            timeout_s=5.0,
        )
        answer = await HttpEndpointSender().send(call, before_write=do_nothing)
        self.sent = server.received[0]
        return answer.body

    async def test_answer_of_another_request(self) -> None:
        # The endpoint mixes up the responses of two calls; a caller would get that of another.
        self.assertEqual(await self.send("X-Request-Id: mine\r\n"), b"ok")
        self.assertEqual(await self.send(""), b"ok")
        self.assertTrue(self.sent.startswith(b"POST /calls/pay%20now%2F%C3%B6 HTTP/1.1\r\n"))
        with self.assertRaises(AnswerLost):
            await self.send("X-Request-Id: other\r\n")

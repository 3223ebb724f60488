"""Tests of chats with a whole fleet in one process, over real sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace

from guavamast.demo import apply_configuration
from guavamast.local_fleet import OPERATOR_TOKEN, LocalFleet
from guavamast.standins.engine import EngineStandin, RunState
from guavamast.standins.faults import Fault
from tests._callers import Caller, build_expected_response, read_error
from tests._waits import wait_until

LONG_TIMEOUT_MS = "3600000"
"""A timeout that even a slow machine never reaches."""


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Base: a fleet with a confirmed configuration."""

    instances = 1
    engines = 2
    slots = 16
    token_interval_s = 0.001

    async def asyncSetUp(self) -> None:
        # The test case turns on the loop's debug mode, which makes the loop several times slower.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = LocalFleet(
            instances=self.instances,
            engines=self.engines,
            slots=self.slots,
            token_interval_s=self.token_interval_s,
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        version = await apply_configuration(self.fleet.url, self.fleet.build_text())
        await self.fleet.wait_for_version(version)
        self.caller = Caller(url=self.fleet.url)

    def list_runs(self) -> list:
        return [run for engine in self.fleet.engines for run in engine.state.runs]

    def count_in_flight(self) -> int:
        return sum(entry.links.count_open_asks() for entry in self.fleet.entries)


class ChatTest(FleetTest):
    """Chats on healthy engines."""

    async def test_plain_and_streamed(self) -> None:
        streamed = await self.caller.stream("a prompt")
        self.assertEqual(streamed.text, build_expected_response("a prompt"))
        self.assertTrue(streamed.ended)
        plain = await self.caller.chat("another", **{"X-Request-Id": "mine"})
        self.assertEqual(plain.headers["X-Request-Id"], "mine")
        message = json.loads(plain.body)["choices"][0]["message"]
        self.assertEqual(message["content"], build_expected_response("another"))

    async def test_many_concurrent_streams_get_their_own_answers(self) -> None:
        prompts = [f"prompt number {number}" for number in range(200)]
        # With the deadline of the class, a slow machine rightly rejects some of the requests.
        headers = {"X-Request-Timeout-Ms": LONG_TIMEOUT_MS}
        requests = (self.caller.stream(prompt, headers=headers) for prompt in prompts)
        answers = await asyncio.gather(*requests)
        for prompt, answer in zip(prompts, answers, strict=True):
            self.assertEqual(answer.text, build_expected_response(prompt), answer.error)
            self.assertTrue(answer.ended)
        self.assertEqual(self.count_in_flight(), 0)

    async def test_bad_input_is_refused_with_a_code(self) -> None:
        path = "/v1/chat/completions"
        bodies = {
            b"{": "bad_request",
            b"[]": "bad_request",
            b'{"model": "none", "messages": [{"role": "u", "content": ""}]}': "unknown_model",
        }
        for body, code in bodies.items():
            response = await self.caller.fetch(path, body=body)
            self.assertEqual(read_error(response)["code"], code)
            self.assertEqual(read_error(response)["outcome"], "not_run")
        response = await self.caller.fetch(path, body=b"x" * 1_048_577)
        self.assertEqual((response.code, read_error(response)["code"]), (413, "body_too_large"))
        response = await Caller(url=self.fleet.url, key="wrong").chat("x")
        self.assertEqual((response.code, read_error(response)["code"]), (401, "unauthenticated"))
        response = await self.caller.chat("x", **{"X-Request-Kind": "unheard"})
        self.assertEqual(read_error(response)["code"], "unknown_class")
        response = await self.caller.fetch("/nowhere")
        self.assertEqual((response.code, read_error(response)["code"]), (404, "not_found"))
        self.assertEqual(self.list_runs(), [])
        self.assertEqual((await self.caller.chat("x")).code, 200)

    async def test_unknown_paths_and_methods(self) -> None:
        response = await self.caller.fetch("/v1/chat/completions", method="GET")
        self.assertEqual(response.code, 405)
        for path in ("/healthz", "/readyz", "/v1/models", "/v1/addresses"):
            response = await self.caller.fetch(path, method="GET")
            self.assertEqual(response.code, 200, path)

    async def test_endpoint_that_leaves_gets_no_new_work(self) -> None:
        # An engine is set to leave while chats run on it. These finish, and the entry's check
        # before the send keeps later ones away from it. All responses are complete.
        running = [asyncio.ensure_future(self.caller.stream(f"r{i}")) for i in range(20)]
        await wait_until(lambda: len(self.fleet.engines[0].state.runs) > 0)
        text = self.fleet.build_text(leaving=frozenset({"engine-0"}))
        version = await apply_configuration(self.fleet.url, text)
        await self.fleet.wait_for_version(version)
        before = len(self.fleet.engines[0].state.runs)
        for number, answer in enumerate(await asyncio.gather(*running)):
            self.assertEqual(answer.text, build_expected_response(f"r{number}"))
        later = await asyncio.gather(*(self.caller.stream(f"l{i}") for i in range(20)))
        self.assertTrue(all(answer.ended for answer in later))
        self.assertEqual(len(self.fleet.engines[0].state.runs), before)

    async def test_caller_key_is_not_an_operator_token(self) -> None:
        response = await self.caller.fetch("/v1/plans", body=self.fleet.build_text().encode())
        self.assertEqual(response.code, 403)
        response = await Caller(url=self.fleet.url, key="").fetch("/v1/plans", body=b"")
        self.assertEqual(response.code, 401)
        response = await Caller(url=self.fleet.url, key=OPERATOR_TOKEN).fetch(
            "/v1/status", method="GET"
        )
        self.assertEqual(response.code, 200)


class ProcessExitTest(FleetTest):
    """A request that is being received when its entry's process ends."""

    async def test_request_without_its_body_is_rejected_as_not_run(self) -> None:
        # The loop ends after the head and before the body: asyncio cancels the handler. The caller
        # is told that nothing has run, so that it retries at another instance.
        host, port = self.fleet.entries[0].address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
        handlers: list[asyncio.Task] = []

        def find_handlers() -> bool:
            tasks = asyncio.all_tasks()
            handlers[:] = [t for t in tasks if "RequestHandler._execute" in repr(t.get_coro())]
            return bool(handlers)

        await wait_until(find_handlers)
        handlers[0].cancel()
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 503 ", head.split(b"\r\n")[0])
        error = json.loads(await reader.readuntil(b"}}"))["error"]
        self.assertEqual((error["code"], error["outcome"]), ("leaving", "not_run"))
        writer.close()


class PausedEntryTest(FleetTest):
    """An entry whose process was paused."""

    async def test_nothing_is_sent_until_the_loop_has_caught_up(self) -> None:
        # The entry is paused between the grant and the send. Nothing may reach an engine until the
        # loop has applied the updates of the meantime; the caller only waits longer.
        pauses = SimpleNamespace(is_settled=lambda now: False)  # noqa: ARG005
        chats = self.fleet.entries[0].services.chats
        real_pauses, chats._pauses = chats._pauses, pauses
        answer = asyncio.ensure_future(self.caller.stream("paused"))
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_runs(), [])
        chats._pauses = real_pauses
        self.assertEqual((await answer).text, build_expected_response("paused"))


class EngineFailureTest(FleetTest):
    """One of two engines fails, with each fault in turn."""

    token_interval_s = 0.003

    async def check_corrupted_stream(self, kind: str) -> None:
        """Check that every caller gets the complete, correct response or an explicit error."""
        for engine in self.fleet.engines[:1]:
            engine.fault = Fault(kind=kind, after_tokens=3)
        prompts = [f"{kind} {number}" for number in range(12)]
        answers = await asyncio.gather(*(self.caller.stream(prompt) for prompt in prompts))
        for prompt, answer in zip(prompts, answers, strict=True):
            expected = build_expected_response(prompt)
            self.assertTrue(expected.startswith(answer.text), prompt)
            self.assertEqual(answer.ended, answer.text == expected and answer.error is None)
            if not answer.ended:
                self.assertIsNotNone(answer.error)
        self.assertGreater(sum(answer.ended for answer in answers), 0)
        self.assertEqual(self.count_in_flight(), 0)

    async def test_cut_stream_is_resumed_or_ended_with_an_error(self) -> None:
        # The engine closes its stream after three tokens. The entry resumes from there on the other
        # engine within its retry budget; else the caller gets an error event and no [DONE] event.
        await self.check_corrupted_stream("cut")

    async def test_crossed_answer_is_never_passed_on(self) -> None:
        # After three tokens the engine sends chunks of another request. Their id is not that of
        # this send, so none of their text reaches the caller.
        await self.check_corrupted_stream("cross")

    async def test_garbled_answer_is_never_passed_on(self) -> None:
        # After three tokens the text is wrong, so the checksum over all text up to it fails.
        await self.check_corrupted_stream("garble")

    async def test_repeated_chunk_is_never_passed_on(self) -> None:
        # After three tokens a chunk is sent twice. Its index is not the expected one.
        await self.check_corrupted_stream("repeat")

    async def test_crashed_engine_fails_over_to_the_other(self) -> None:
        # One engine rejects all requests. The caller gets a complete response from the other one.
        self.fleet.engines[0].fault = Fault(kind="crash")
        for number in range(6):
            answer = await self.caller.stream(f"c{number}")
            self.assertEqual(answer.text, build_expected_response(f"c{number}"), answer.error)


class CallerDisconnectTest(FleetTest):
    """Callers that disconnect."""

    engines = 1
    slots = 1
    token_interval_s = 0.05

    async def test_work_is_cancelled_and_its_slot_released(self) -> None:
        # A caller disconnects during the response. The engine's run is cancelled and the only slot
        # is released, so that the next caller is served at once.
        engine: EngineStandin = self.fleet.engines[0]
        host, port = self.fleet.entries[0].address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(
            {"model": "small", "stream": True, "messages": [{"role": "user", "content": "x"}]}
        )
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        key = f"Authorization: Bearer {self.caller.key}\r\n\r\n"
        writer.write((head + key + body).encode())
        await reader.readuntil(b"data:")
        writer.close()
        await wait_until(lambda: engine.state.runs[0].state is RunState.CANCELLED)
        await wait_until(lambda: self.count_in_flight() == 0)
        self.assertEqual((await self.caller.stream("next")).text, build_expected_response("next"))

    async def test_caller_that_disconnects_while_queued_leaves_the_queue(self) -> None:
        # One caller holds the only slot; a second one is queued and disconnects. Its ask must be
        # withdrawn at once, although no write of a token reveals the disconnect.
        running = asyncio.ensure_future(self.caller.stream("tokens=100;first"))
        await wait_until(lambda: self.count_in_flight() == 1)
        waiting = Caller(url=self.fleet.url)
        second = asyncio.ensure_future(waiting.stream("second"))
        await wait_until(lambda: self.count_in_flight() == 2)
        waiting.close()
        await wait_until(lambda: self.count_in_flight() == 1)
        self.assertFalse(running.done())
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        self.assertTrue((await running).ended)

"""Tests of what is read of the heads of endpoints' responses, and what is logged of the rest."""

from __future__ import annotations

import unittest
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.endpoint_statements import MALFORMED_INTERVAL_S, EndpointStatements
from guavamast.relay.rate_limits import RateLimitSharing
from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
from guavamast.relay.unread_headers import MAX_LINES, UnreadHeaders
from tests.relay_fixtures import build_endpoint

CODEC = PlatformHeaders()
RECORD = build_endpoint("x")
OWN_ID = ("X-Attempt-Id", "r1")
SEAL = ("X-Engine-Seal", "seal")
NOT_RUN = ("X-Not-Executed", "1")


class RateLimitHeaderTest(unittest.TestCase):
    """A rate limit is a decimal number, once in a head."""

    def test_decimal_numbers_are_read(self) -> None:
        for value, expected in (("2", 2.0), (" 1.8 ", 1.8), ("0", 0.0), ("0.001", 0.001)):
            head = CODEC.decode_response(200, [("server-limit", value)])
            self.assertEqual((head.rate_limit, head.malformed_rate_limit), (expected, None))
        self.assertEqual(CODEC.decode_response(200, [("Server-Limit", "1e9")]).rate_limit, 1e9)

    def test_anything_else_is_no_limit_and_no_error(self) -> None:
        """Guards against an exception, or a wrong limit, in the path of a response."""
        for value in ("nan", "inf", "-1", "1e400", "", "two", "1_0", "+2", "2, 3", "٢"):
            with self.subTest(value=value):
                head = CODEC.decode_response(200, [("Server-Limit", value)])
                self.assertIsNone(head.rate_limit)
                self.assertEqual(head.malformed_rate_limit, value)

    def test_two_headers_are_no_limit(self) -> None:
        head = CODEC.decode_response(200, [("Server-Limit", "2"), ("Server-Limit", "3")])
        self.assertIsNone(head.rate_limit)
        self.assertEqual(head.malformed_rate_limit, "2, 3")

    def test_no_header_states_nothing(self) -> None:
        head = CODEC.decode_response(200, [("Content-Type", "text/plain")])
        self.assertEqual((head.rate_limit, head.malformed_rate_limit), (None, None))


class EndpointStatementsTest(unittest.TestCase):
    """Only what an endpoint itself states is passed on."""

    def setUp(self) -> None:
        self.rate_limits = mock.create_autospec(RateLimitSharing, instance=True)
        self.log = mock.create_autospec(DecisionLog, instance=True)
        self.now = 10.0
        self.statements = EndpointStatements(
            rejection_limits=mock.create_autospec(RejectionLimitSharing, instance=True),
            rate_limits=self.rate_limits,
            unread=mock.create_autospec(UnreadHeaders, instance=True),
            log=self.log,
            read_time=lambda: self.now,
        )

    def record(self, status: int, *headers: tuple[str, str]) -> list[float | None]:
        """Return the limits that are passed on of a response."""
        head = CODEC.decode_response(status, list(headers))
        self.statements.record(RECORD, head, request_id="r1", sent_at=9.0)
        calls = self.rate_limits.record.call_args_list
        self.rate_limits.record.reset_mock()
        return [call.args[1] for call in list(calls)]

    def test_whole_answers_and_rejections_state_a_limit(self) -> None:
        limit = ("Server-Limit", "2")
        self.assertEqual(self.record(200, OWN_ID, SEAL, limit), [2.0])
        self.assertEqual(self.record(503, OWN_ID, NOT_RUN, limit), [2.0])
        self.assertEqual(self.record(500, OWN_ID, limit), [2.0])

    def test_only_a_signed_answer_ends_a_limit(self) -> None:
        """Guards against a failing endpoint that omits what it states."""
        self.assertEqual(self.record(200, OWN_ID, SEAL), [None])
        self.assertEqual(self.record(500, OWN_ID), [])
        self.assertEqual(self.record(503, OWN_ID, NOT_RUN), [])

    def test_responses_of_others_state_nothing(self) -> None:
        """Guards against a limit of the endpoint that has got the address meanwhile."""
        limit = ("Server-Limit", "2")
        self.assertEqual(self.record(421, OWN_ID, limit), [])
        self.assertEqual(self.record(200, ("X-Attempt-Id", "other"), SEAL, limit), [])

    def test_rejections_of_other_requests_state_nothing(self) -> None:
        """Guards against a limit of long ago, in a rejection that arrives late."""
        limit = ("Server-Limit", "2")
        self.assertEqual(self.record(503, ("X-Attempt-Id", "other"), NOT_RUN, limit), [])
        self.assertEqual(self.record(503, NOT_RUN, limit), [])

    def test_a_malformed_limit_changes_nothing_and_is_logged_now_and_then(self) -> None:
        """Guards against a limit that begins or ends by a value that can't be read."""
        for _ in range(3):
            self.assertEqual(self.record(200, OWN_ID, SEAL, ("Server-Limit", "two")), [])
        self.log.write.assert_called_once()
        self.now += MALFORMED_INTERVAL_S
        self.record(200, OWN_ID, SEAL, ("Server-Limit", "two"))
        self.assertEqual(self.log.write.call_count, 2)


class UnreadHeadersTest(unittest.TestCase):
    """A header that nothing reads appears in the log once."""

    def setUp(self) -> None:
        self.log = mock.create_autospec(DecisionLog, instance=True)
        self.unread = UnreadHeaders(codec=CODEC, log=self.log)

    def record(self, *headers: tuple[str, str]) -> None:
        head = CODEC.decode_response(200, list(headers))
        self.unread.record(head, endpoint_id="x", now=1.0)

    def test_each_unread_name_is_logged_once(self) -> None:
        """Guards against a statement of endpoints that nobody notices."""
        for _ in range(3):
            self.record(("Server-Mood", "low"), ("X-Attempt-Id", "r1"), ("Content-Type", "t"))
        self.log.write.assert_called_once()
        self.assertEqual(self.log.write.call_args.kwargs["header"], "Server-Mood")

    def test_the_names_are_bounded(self) -> None:
        self.record(*((f"X-{number}", "1") for number in range(2 * MAX_LINES)))
        self.assertEqual(self.log.write.call_count, MAX_LINES)


if __name__ == "__main__":
    unittest.main()

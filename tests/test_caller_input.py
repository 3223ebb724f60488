"""Tests of parsing callers' input: any input is accepted or rejected with a code."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.caller_input import (
    parse_bearer,
    parse_chat_body,
    parse_label,
    parse_timeout,
)
from guavamast.errors import ErrorCode, Outcome, Refusal

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
FIELDS = st.sampled_from(["model", "messages", "stream", "max_tokens", "role", "content"])


class CallerInputTest(unittest.TestCase):
    """Invalid input raises a rejection as not run, never another exception."""

    def check_rejected_or_parsed(self, body: bytes) -> None:
        try:
            parsed = parse_chat_body(body)
        except Refusal as refusal:
            self.assertEqual(refusal.status, 400)
            self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        else:
            parsed.hash_prefix()
            parsed.count_prompt_tokens()

    @given(body=st.binary())
    def test_any_bytes(self, body: bytes) -> None:
        self.check_rejected_or_parsed(body)

    @given(body=st.dictionaries(FIELDS, JSON))
    def test_any_object(self, body: dict) -> None:
        self.check_rejected_or_parsed(json.dumps(body).encode())

    @given(message=st.dictionaries(FIELDS, JSON), content=st.text())
    def test_any_message(self, message: dict, content: str) -> None:
        message.setdefault("role", "user")
        message.setdefault("content", content)
        body = {"model": "m", "messages": [message]}
        self.check_rejected_or_parsed(json.dumps(body).encode())

    @given(header=st.text())
    def test_any_header(self, header: str) -> None:
        parse_bearer(header)
        for parse in (parse_timeout, self.parse_id):
            try:
                parse(header)
            except Refusal as refusal:
                self.assertEqual(refusal.code, ErrorCode.BAD_REQUEST)

    @staticmethod
    def parse_id(header: str) -> str:
        return parse_label(header, name="X-Request-Id", max_length=128)

    def test_lone_surrogate_is_rejected(self) -> None:
        # JSON can escape a lone surrogate, which UTF-8 can't encode. Unless it is rejected here, it
        # causes an error without a code later on.
        body = b'{"model":"m","messages":[{"role":"user","content":"\\ud800"}]}'
        with self.assertRaises(Refusal):
            parse_chat_body(body)

    def test_timeout(self) -> None:
        self.assertEqual(parse_timeout("1500"), 1.5)
        self.assertIsNone(parse_timeout(""))
        for bad in ("0", "-1", "1.5", "abc", "99999999999999999999"):
            with self.assertRaises(Refusal, msg=bad):
                parse_timeout(bad)

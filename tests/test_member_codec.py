"""Encoding of membership records."""

from __future__ import annotations

import unittest

from bench.exchange_loop import build_instance

from guavamast.member_codec import decode_member, encode_changing_fields, encode_member
from guavamast.members import Member, MemberState

MEMBER = Member(
    instance=build_instance("a"),
    incarnation=1_764_000_000_000,
    state=MemberState.LEAVING,
    heartbeat=7,
    configuration_version=3,
    load=2.5,
)


class MemberCodecTest(unittest.TestCase):
    """Whole records and records without their instance."""

    def test_record_round_trips(self) -> None:
        self.assertEqual(decode_member(encode_member(MEMBER)), MEMBER)
        self.assertEqual(decode_member(encode_changing_fields(MEMBER), known=MEMBER), MEMBER)

    def test_a_record_of_an_unknown_incarnation_or_state_is_left_out(self) -> None:
        """A peer of a later release sends a state that this release does not know.

        The exception ended the stream with each message, so instances considered each other gone
        in the middle of a replacement of all instances.
        """
        self.assertIsNone(decode_member(encode_changing_fields(MEMBER)))
        message = encode_member(MEMBER)
        message.state = 9
        self.assertIsNone(decode_member(message))


if __name__ == "__main__":
    unittest.main()

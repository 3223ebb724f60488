"""Tests of the digest that identifies a request's content."""

from __future__ import annotations

import unittest

from guavamast.relay.request_digest import compute_request_digest
from tests.relay_fixtures import build_request


class RequestDigestTest(unittest.TestCase):
    """The same content has the same digest at every instance, other content another one."""

    def test_a_retry_of_the_caller_has_the_same_digest(self) -> None:
        first = build_request(request_id="r1", timeout_s=3.0, received_at=1.0, body=b"x")
        second = build_request(request_id="r2", timeout_s=1.0, received_at=9.0, body=b"x")
        self.assertEqual(
            compute_request_digest(first, organisation="bakery"),
            compute_request_digest(second, organisation="bakery"),
        )

    def test_each_part_of_the_content_counts(self) -> None:
        digests = {
            compute_request_digest(build_request(**changes), organisation=organisation)
            for changes, organisation in (
                ({}, "bakery"),
                ({}, "florist"),
                ({}, None),
                ({"method": "POST"}, "bakery"),
                ({"target": "/status/8"}, "bakery"),
                ({"host": "other.example"}, "bakery"),
                ({"body": b"x"}, "bakery"),
                ({"target": "/status/", "body": b"7"}, "bakery"),
            )
        }
        self.assertEqual(len(digests), 8)


if __name__ == "__main__":
    unittest.main()

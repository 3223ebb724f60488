"""Tests of JSON without spaces."""

from __future__ import annotations

import json
import unittest

from guavamast.compact_json import encode_json


class CompactJsonTest(unittest.TestCase):
    """Texts are short, in ASCII, and read back as the same value."""

    def test_a_text_has_no_spaces_but_those_of_its_strings(self) -> None:
        self.assertEqual(encode_json({"a": [1, 2.5, None, "b c"]}), '{"a":[1,2.5,null,"b c"]}')

    def test_characters_beyond_ascii_are_escaped(self) -> None:
        text = encode_json(["Liège"])
        self.assertTrue(text.isascii())
        self.assertEqual(json.loads(text), ["Liège"])

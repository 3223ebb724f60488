"""Tests of the log lines."""

from __future__ import annotations

import json
import logging
import unittest

from guavamast.log import JsonFormatter, TextFormatter


class FormatterTest(unittest.TestCase):
    """Lines contain the context fields that a call passes, and no others."""

    def create_record(self, **context: str) -> logging.LogRecord:
        record = logging.LogRecord("g", logging.INFO, "f", 1, "ended %d", (200,), None)
        record.__dict__.update(context)
        return record

    def test_json_is_one_object_a_line(self) -> None:
        line = JsonFormatter().format(self.create_record(request_id="r\n1", organisation="o"))
        self.assertNotIn("\n", line)
        fields = json.loads(line)
        self.assertEqual((fields["message"], fields["request_id"]), ("ended 200", "r\n1"))
        self.assertNotIn("class_name", fields)

    def test_text(self) -> None:
        line = TextFormatter().format(self.create_record(code="shed"))
        self.assertTrue(line.endswith("INFO ended 200 code=shed"))

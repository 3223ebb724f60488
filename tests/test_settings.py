"""Tests of reading the settings of an instance."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from guavamast.findings import FindingCode, FindingsError
from guavamast.settings import load_settings, parse_settings

VALID_SETTINGS = """\
[instance]
name = entry-01
failure_domain = namur-a
region = be-wallonie
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
tables = http://127.0.0.1:7000
objects = http://127.0.0.1:7001/
"""


class SettingsTest(unittest.TestCase):
    """Valid settings are parsed; invalid ones are rejected with all of their findings."""

    def test_fills_defaults(self) -> None:
        settings = parse_settings(VALID_SETTINGS, file="a.ini")
        self.assertEqual(settings.instance.failure_domain.region, "be-wallonie")
        self.assertEqual(settings.objects_url, "http://127.0.0.1:7001")
        self.assertEqual((settings.seeds, settings.statsd), ((), ""))
        self.assertIsNone(settings.operator_token_file)
        self.assertEqual((settings.drain_wait_s, settings.log_level), (600.0, "info"))

    def test_reads_every_optional_section(self) -> None:
        text = VALID_SETTINGS + (
            "[peers]\nseeds = 127.0.0.1:1, 127.0.0.2:1\n[operators]\ntoken_file = tokens\n"
            "[metrics]\nstatsd = 127.0.0.1:8125\n[log]\nlevel = debug\nformat = json\n"
            "[limits]\nmax_body_bytes = 4096\noperation_retention_s = 86400\n"
            "[leaving]\ndrain_wait_s = 20\naddress_validity_s = 5\n"
        )
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "instance.ini"
            path.write_text(text)
            settings = load_settings(path)
            self.assertEqual(settings.operator_token_file, Path(directory) / "tokens")
        self.assertEqual(settings.seeds, ("127.0.0.1:1", "127.0.0.2:1"))
        self.assertEqual((settings.log_level, settings.log_format), ("debug", "json"))
        self.assertEqual((settings.max_body_bytes, settings.address_validity_s), (4096, 5.0))

    def test_reports_all_findings_together(self) -> None:
        text = VALID_SETTINGS.replace("127.0.0.1:0", "localhost:0", 1).replace(
            "[platform]", "[plattform]"
        )
        text += "[leaving]\ndrain_wait_s = 10 min\n[peers]\nseeds = 127.0.0.1:0\n"
        with self.assertRaises(FindingsError) as caught:
            parse_settings(text, file="a.ini")
        self.assertEqual(
            [(finding.line, finding.code) for finding in caught.exception.findings],
            [
                (0, FindingCode.MISSING_SECTION),
                (6, FindingCode.BAD_VALUE),
                (8, FindingCode.UNKNOWN_SECTION),
                (12, FindingCode.WRONG_UNIT),
                (14, FindingCode.OUT_OF_RANGE),
            ],
        )

    def test_one_address_for_two_listeners(self) -> None:
        with self.assertRaises(FindingsError) as caught:
            parse_settings(VALID_SETTINGS.replace("127.0.0.1:0", "127.0.0.1:80"), file="a.ini")
        self.assertEqual(
            [(finding.line, finding.code) for finding in caught.exception.findings],
            [(7, FindingCode.DUPLICATE_VALUE)],
        )

    def test_an_unreadable_file_is_a_finding(self) -> None:
        with self.assertRaises(FindingsError) as caught:
            load_settings("/nowhere/instance.ini")
        self.assertEqual(caught.exception.findings[0].code, FindingCode.UNREADABLE)

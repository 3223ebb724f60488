"""Tests of the entries of KNOWN-RED.txt."""

from __future__ import annotations

import unittest

from tools.known_red import (
    ENTRY_LENGTH_LIMIT,
    Kind,
    collect_excused_ids,
    find_list_faults,
    parse_entries,
    parse_entry,
)
from tools.run_tests import read_known_red

FIELDS = "command, seed 1 | seen | 2"


class EntryFormTest(unittest.TestCase):
    """An entry has four fields, an issue, and a bounded length."""

    def test_an_entry_of_each_kind_is_well_formed(self) -> None:
        for word in ("", "sometimes ", "seen ", "play ", "soak ", "review "):
            entry = parse_entry(f"{word}a.b | {FIELDS}")
            self.assertEqual(entry.faults, [], word)
            self.assertEqual(entry.kind, Kind(word.strip()))
            self.assertEqual(entry.subject, "a.b")

    def test_several_issues_are_named_with_commas(self) -> None:
        self.assertEqual(parse_entry("a | command | seen | 18, 2").faults, [])

    def test_malformed_entries_are_found(self) -> None:
        lines = {
            "too few fields": "a | command | 2",
            "too many fields": "a | command | seen | more | 2",
            "no subject": f" | {FIELDS}",
            "no subject but a kind": f"soak | {FIELDS}",
            "no command": "soak a | | seen | 2",
            "nothing seen": "soak a | command |  | 2",
            "no issue": "soak a | command | seen | ",
            "words for an issue": "soak a | command | seen | later",
            "issue zero": "soak a | command | seen | 0",
            "a trailing comma": "soak a | command | seen | 2,",
        }
        for name, line in lines.items():
            with self.subTest(name):
                self.assertNotEqual(find_list_faults([parse_entry(line)]), [])

    def test_an_entry_that_is_a_page_is_found(self) -> None:
        line = f"play a | {FIELDS}"
        longest = line.replace("seen", "x" * (ENTRY_LENGTH_LIMIT - len(line) + len("seen")))
        self.assertEqual(len(longest), ENTRY_LENGTH_LIMIT)
        self.assertEqual(parse_entry(longest).faults, [])
        self.assertNotEqual(parse_entry(longest.replace("x", "xx", 1)).faults, [])

    def test_comments_and_blank_lines_are_no_entries(self) -> None:
        self.assertEqual(len(parse_entries(f"# a | b\n\n  \na | {FIELDS}\n")), 1)


class ExcusedTestsTest(unittest.TestCase):
    """The number of excused tests is bounded, that of other findings isn't."""

    def test_more_than_three_excused_tests_are_refused(self) -> None:
        entries = parse_entries("".join(f"{name} | {FIELDS}\n" for name in "abc"))
        self.assertEqual(find_list_faults(entries), [])
        for word in ("", "sometimes "):
            more = [*entries, parse_entry(f"{word}d | {FIELDS}")]
            self.assertEqual(len(find_list_faults(more)), 1)

    def test_several_entries_of_one_test_excuse_one_test(self) -> None:
        entries = parse_entries("".join(f"{name} | {FIELDS}\n" for name in "abcabc"))
        self.assertEqual(find_list_faults(entries), [])
        self.assertEqual(collect_excused_ids(entries), set("abc"))

    def test_findings_outside_of_the_tests_excuse_nothing(self) -> None:
        words = ("seen", "play", "soak", "review")
        entries = parse_entries("".join(f"{word} a | {FIELDS}\n" for word in words * 5))
        self.assertEqual(find_list_faults(entries), [])
        self.assertEqual(collect_excused_ids(entries), set())

    def test_the_list_of_this_tree_is_well_formed(self) -> None:
        self.assertEqual(find_list_faults(read_known_red()), [])

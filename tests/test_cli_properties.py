"""Property test of the command line: any arguments give an exit code and no traceback."""

from __future__ import annotations

import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.commands import COMMANDS
from tests.test_cli import run_command

LONG_RUNNING_COMMANDS = {"entry", "dispatcher", "node", "standin", "demo"}
"""Commands that may run until they are stopped; excluded from the test."""
COMMAND_WORDS = sorted(set(COMMANDS) - LONG_RUNNING_COMMANDS)
OPTIONS = ["--via", "http://127.0.0.1:1", "--token-file", __file__, "--json", "--undo", "--limit"]
MALFORMED_WORDS = [
    "-",
    "--",
    "--=",
    "--json=5",
    "--nojson",
    "_act",
    "[1,2]",
    "{",
    '"',
    "1e3",
    "--trace",
]
METHODS = ["__init__", "__class__", "pop", "keys", "clear", "update"]
WORDS = st.sampled_from([*COMMAND_WORDS, *OPTIONS, *MALFORMED_WORDS, *METHODS]) | st.text(
    max_size=5
)
FIRST_WORDS = st.sampled_from([*COMMAND_WORDS, *METHODS, "", "--json"])


class CommandLineProperties(unittest.TestCase):
    """Invalid arguments yield output and one of the documented exit codes."""

    @example("audit", ["__class__", "__class__"])
    @given(FIRST_WORDS, st.lists(WORDS, max_size=7))
    def test_returns_a_known_exit_code(self, first: str, words: list[str]) -> None:
        before = dict(COMMANDS)
        result = run_command(first, *words)
        self.assertIn(result.code, (0, 1, 2))
        self.assertTrue(result.out or result.err)
        self.assertEqual(COMMANDS, before)

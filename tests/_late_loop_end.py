"""A relay whose event loop gets no further turn at the end, as one that waits for a processor."""

from __future__ import annotations

import runpy
import time
from typing import Final
from unittest import mock

from guavamast.relay.relayer import Relayer

HOLD_S: Final = 3.0
"""Seconds for which the loop is held up from the end of the requests on: beyond the kill."""


def hold_loop(relayer: Relayer, *, also_behind: bool = False) -> None:
    """Hold the loop up in the place of ending the requests."""
    del relayer, also_behind
    until = time.monotonic() + HOLD_S
    while time.monotonic() < until:
        pass


if __name__ == "__main__":
    with mock.patch.object(Relayer, "expire_requests", hold_loop):
        runpy.run_module("guavamast.platform", run_name="__main__")

"""A relay whose interpreter takes long to end, as one does that waits for a processor."""

from __future__ import annotations

import atexit
import runpy
import time
from typing import Final

END_S: Final = 1.5
"""Seconds that the interpreter's end takes longer: more than any instance ends before its kill."""

if __name__ == "__main__":
    atexit.register(time.sleep, END_S)
    runpy.run_module("guavamast.platform", run_name="__main__")

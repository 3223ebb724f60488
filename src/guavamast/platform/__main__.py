"""Runs one instance on the users' platform: ``python3 -m guavamast.platform``."""

from __future__ import annotations

import asyncio
import os
import sys

from guavamast.findings import FindingsError
from guavamast.platform.runner import run_node
from guavamast.platform.settings import SETTINGS_VARIABLE, read_settings


def main() -> int:
    """Run; exit 2 with all findings when the settings are not usable."""
    try:
        settings = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 2
    asyncio.run(run_node(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())

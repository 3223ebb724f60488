"""Runs one instance on the users' platform: ``python3 -m guavamast.platform``."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Run; exit 2 with all findings when the settings are not usable.

    Failure: the platform tells a process that its settings have changed while it still loads its
    modules, the signal's default action ends it, and an instance is missing for another start. The
    signal is ignored from the first line on, until the instance logs it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio

    from guavamast.findings import FindingsError
    from guavamast.platform.runner import run_node
    from guavamast.platform.settings import SETTINGS_VARIABLE, read_settings

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

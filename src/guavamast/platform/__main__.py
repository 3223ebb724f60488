"""Entry point of one instance on the users' platform: ``python3 -m guavamast.platform``."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Run one instance, and end its process; return 2 and print findings on invalid settings.

    SIGHUP is ignored from the first line on, until the instance installs a handler that logs it.
    Without this, a SIGHUP that reports changed settings while the modules still load would end the
    process by its default action, and the instance would be missing until the next start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio
    from dataclasses import replace

    from guavamast.findings import FindingsError
    from guavamast.platform.runner import run_process
    from guavamast.platform.settings import SETTINGS_VARIABLE, read_settings

    try:
        settings = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
        policy_path = os.environ.get("GUAVAMAST_POLICY", "")
        if policy_path:
            # Imported only here, as its INI parser takes memory in each process.
            from guavamast.relay.sharing.policy_file import read_policy

            settings = replace(settings, sharing=read_policy(policy_path))
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 2
    asyncio.run(run_process(settings))
    # Beside busy processes the interpreter may take longer to end than is left: the platform kills
    # the process, which counts as crashed. All tasks have ended by now, and the log is written.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())

"""An instance that gets SIGTERM right after its listener for callers has opened."""

from __future__ import annotations

import os
import runpy
import signal

from guavamast.relay.listener import CallerListener

_listen = CallerListener.listen


def listen_before_signal(listener: CallerListener, ip: str, port: int) -> None:
    """Open the listener, which the start does last but for the background tasks."""
    _listen(listener, ip, port)
    os.kill(os.getpid(), signal.SIGTERM)


if __name__ == "__main__":
    CallerListener.listen = listen_before_signal  # type: ignore[method-assign]
    runpy.run_module("guavamast.platform", run_name="__main__")

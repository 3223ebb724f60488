"""Entry point of ``python -m guavamast``."""

from __future__ import annotations

from guavamast.cli import main

if __name__ == "__main__":
    main()

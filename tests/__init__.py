"""Tests of guavamast; hypothesis runs derandomized by default so that results are reproducible."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "prove",
    deadline=None,
    print_blob=True,
    max_examples=int(os.environ.get("GUAVAMAST_EXAMPLES", "5000")),
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("prove" if "GUAVAMAST_EXAMPLES" in os.environ else "ci")

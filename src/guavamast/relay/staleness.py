"""How old knowledge may be when a request is sent by it."""

from __future__ import annotations

from typing import Final

SEND_MARGIN_S: Final = 0.4
"""Seconds kept free of each bound for the way to the endpoint and a pause of the process."""
REVOCATION_MARGIN_S: Final = 0.7
"""Seconds kept free of the bound on revoked keys; longer, as it holds for slow instances too."""
MARGIN_SHARE: Final = 0.5
"""Share of a short bound that a margin may take at most."""


class StalenessBounds:
    """The greatest ages of configuration and endpoints at which requests are sent by them.

    An age counts from the moment at which the store had no newer version, so a request that is sent
    within these bounds is never handled by a version that should not be in force any more.

    Args:
        change_s: Time after which a changed configuration must be in force.
        leaving_s: Time after which an endpoint that leaves must get nothing.
        revocation_s: Time after which a revoked key must not work.
    """

    __slots__ = ("catalog_s", "endpoints_s", "keys_s")

    def __init__(self, *, change_s: float, leaving_s: float, revocation_s: float) -> None:
        self.catalog_s = _subtract_margin(change_s, SEND_MARGIN_S)
        """Age of the configuration, in seconds."""
        self.endpoints_s = _subtract_margin(leaving_s, SEND_MARGIN_S)
        """Age of the table of endpoints, in seconds."""
        self.keys_s = _subtract_margin(revocation_s, REVOCATION_MARGIN_S)
        """Age of the configuration at which its keys are accepted, even while the store is away."""


def _subtract_margin(bound_s: float, margin_s: float) -> float:
    return bound_s - min(margin_s, MARGIN_SHARE * bound_s)

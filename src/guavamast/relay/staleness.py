"""Bounds on the age of the tables that requests are sent by."""

from __future__ import annotations

from typing import Final

SEND_MARGIN_S: Final = 0.4
"""Seconds subtracted from each bound for the transit to the endpoint and a pause of the process."""
REVOCATION_MARGIN_S: Final = 0.7
"""Seconds subtracted from the bound on revoked keys; more, as it covers slow instances too."""
MARGIN_SHARE: Final = 0.5
"""Share of a short bound that a margin may take at most."""


class StalenessBounds:
    """The maximum ages of configuration and endpoint table for sending requests.

    An age counts from the last moment at which the store is known to have had no newer version. A
    request that is sent within these bounds never uses a version that must no longer be in force.

    Args:
        change_s: Time after which a changed configuration must be in force.
        leaving_s: Time after which a leaving endpoint must receive nothing.
        revocation_s: Time after which a revoked key must not work.
    """

    __slots__ = ("catalog_s", "endpoints_s", "keys_s")

    def __init__(self, *, change_s: float, leaving_s: float, revocation_s: float) -> None:
        self.catalog_s = _subtract_margin(change_s, SEND_MARGIN_S)
        """Maximum age of the configuration, in seconds."""
        self.endpoints_s = _subtract_margin(leaving_s, SEND_MARGIN_S)
        """Maximum age of the endpoint table, in seconds."""
        self.keys_s = _subtract_margin(revocation_s, REVOCATION_MARGIN_S)
        """Maximum age of the configuration for accepting its keys, also during a store outage."""


def _subtract_margin(bound_s: float, margin_s: float) -> float:
    return bound_s - min(margin_s, MARGIN_SHARE * bound_s)

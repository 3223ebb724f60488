"""Fair sharing of the engines between the organisations of one precedence.

The package keeps what organisations were served and who waits, and tells which requests have a
claim to room before another. It sends nothing; admission and heartbeats use it.
"""

from guavamast.relay.sharing.ledger import NO_CLAIMS, Claims, ShareLedger
from guavamast.relay.sharing.messages import OrganisationServed, OrganisationWaiting, ShareKey
from guavamast.relay.sharing.policy import EQUAL_SHARES, NO_SHARING, SharingPolicy
from guavamast.relay.sharing.work_cost import compute_work_ms

__all__ = [
    "Claims",
    "EQUAL_SHARES",
    "NO_CLAIMS",
    "NO_SHARING",
    "OrganisationServed",
    "OrganisationWaiting",
    "ShareKey",
    "ShareLedger",
    "SharingPolicy",
    "compute_work_ms",
]

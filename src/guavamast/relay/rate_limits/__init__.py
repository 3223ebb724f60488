"""Rate limits that endpoints state for all instances together, and the permits that keep them."""

from guavamast.relay.rate_limits.ledger import RateLimit, RateLimitLedger
from guavamast.relay.rate_limits.permits import PERMIT_VALID_S, RatePermits
from guavamast.relay.rate_limits.sharing import RateLimitSharing
from guavamast.relay.rate_limits.wire import (
    RATE_LIMIT_PREFIX,
    RateLimitReport,
    decode_rate_limits,
    encode_rate_limits,
)

__all__ = [
    "PERMIT_VALID_S",
    "RATE_LIMIT_PREFIX",
    "RateLimit",
    "RateLimitLedger",
    "RateLimitReport",
    "RateLimitSharing",
    "RatePermits",
    "decode_rate_limits",
    "encode_rate_limits",
]

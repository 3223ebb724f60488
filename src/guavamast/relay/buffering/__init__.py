"""What one instance holds in memory for callers, endpoints and other instances.

The package decides how much an instance may hold and what waits for room; it sends and reads
nothing itself.
"""

from guavamast.relay.buffering.memory_account import (
    MemoryAccount,
    MemoryUse,
    compute_memory_limit,
)
from guavamast.relay.buffering.request_body import RequestBody
from guavamast.relay.buffering.response_body import MAX_BODY_BYTES, BodyTooLarge, ResponseBody
from guavamast.relay.buffering.slow_readers import (
    SlowReader,
    SlowReaders,
    compute_backlog_limit,
)

__all__ = [
    "MAX_BODY_BYTES",
    "BodyTooLarge",
    "MemoryAccount",
    "MemoryUse",
    "RequestBody",
    "ResponseBody",
    "SlowReader",
    "SlowReaders",
    "compute_backlog_limit",
    "compute_memory_limit",
]

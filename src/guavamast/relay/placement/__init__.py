"""Choice of an endpoint for each request, and its admission there.

The package decides where a request goes, whether it has room there now, and who yields to whom. It
knows loads, prompts and engine speeds as types of its own or of the relay; it sends nothing, and
the rest of the relay doesn't decide on capacity.
"""

from guavamast.relay.placement.admission import MIN_RETRY_S, Rejection, WaitParameters
from guavamast.relay.placement.admission_control import AdmissionControl, AdmissionTerms
from guavamast.relay.placement.admission_history import (
    AdmissionCount,
    AdmissionHistory,
    WaitingPrecedence,
)
from guavamast.relay.placement.endpoint_choice import Choice, EndpointChooser
from guavamast.relay.placement.endpoint_speeds import EndpointSpeeds, SpeedEstimate
from guavamast.relay.placement.engine_forecast import (
    FRESH_LOADS_LIMIT,
    LESS_URGENT_LIMIT,
    MOST_URGENT_LIMIT,
    STALE_LOADS_LIMIT,
    Forecast,
    KvLimit,
)
from guavamast.relay.placement.engine_memory import (
    MEMORY_LEASE_S,
    EndsUnderLoad,
    MemoryReserve,
    UnscheduledMemory,
    is_near_capacity,
    reject_for_memory,
)
from guavamast.relay.placement.engine_profile import (
    PROFILE_QUANTITIES,
    EngineProfile,
    EngineProfiles,
    Estimate,
    ProfileEstimates,
)
from guavamast.relay.placement.expected_retries import ExpectedRetries
from guavamast.relay.placement.free_slots import FreeSlots
from guavamast.relay.placement.length_buckets import (
    BUCKETS,
    NO_DEMAND,
    Demand,
    PromptDemand,
    find_bucket,
    is_latency_tolerant,
)
from guavamast.relay.placement.obstacle import Obstacle, ObstacleKind
from guavamast.relay.placement.placement import Placement
from guavamast.relay.placement.prefill_interference import is_pause_sensitive
from guavamast.relay.placement.prompt_cache import PromptCache, PromptSend
from guavamast.relay.placement.request_sizes import RequestSizes
from guavamast.relay.placement.waiting import (
    CHECK_INTERVAL_S,
    SINGLE_CHECK,
    PlacementWait,
    RoomCheck,
    begin_wait,
)

__all__ = [
    "BUCKETS",
    "CHECK_INTERVAL_S",
    "FRESH_LOADS_LIMIT",
    "LESS_URGENT_LIMIT",
    "MEMORY_LEASE_S",
    "MIN_RETRY_S",
    "MOST_URGENT_LIMIT",
    "NO_DEMAND",
    "PROFILE_QUANTITIES",
    "SINGLE_CHECK",
    "STALE_LOADS_LIMIT",
    "AdmissionControl",
    "AdmissionCount",
    "AdmissionHistory",
    "AdmissionTerms",
    "Choice",
    "Demand",
    "EndpointChooser",
    "EndpointSpeeds",
    "EndsUnderLoad",
    "EngineProfile",
    "EngineProfiles",
    "Estimate",
    "ExpectedRetries",
    "Forecast",
    "FreeSlots",
    "KvLimit",
    "MemoryReserve",
    "Obstacle",
    "ObstacleKind",
    "Placement",
    "PlacementWait",
    "ProfileEstimates",
    "PromptCache",
    "PromptDemand",
    "PromptSend",
    "Rejection",
    "RequestSizes",
    "RoomCheck",
    "SpeedEstimate",
    "UnscheduledMemory",
    "WaitParameters",
    "WaitingPrecedence",
    "begin_wait",
    "find_bucket",
    "is_latency_tolerant",
    "is_near_capacity",
    "is_pause_sensitive",
    "reject_for_memory",
]

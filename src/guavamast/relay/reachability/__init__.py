"""Knowledge of which services' endpoints this instance and the others reach."""

from guavamast.relay.reachability.monitor import ReachabilityMonitor
from guavamast.relay.reachability.reports import (
    REACHABILITY_PREFIX,
    PeerReachability,
    ReachabilityReport,
    decode_reachability_report,
    encode_reachability_report,
)
from guavamast.relay.reachability.upkeep import ReachabilityUpkeep

__all__ = [
    "REACHABILITY_PREFIX",
    "PeerReachability",
    "ReachabilityMonitor",
    "ReachabilityReport",
    "ReachabilityUpkeep",
    "decode_reachability_report",
    "encode_reachability_report",
]

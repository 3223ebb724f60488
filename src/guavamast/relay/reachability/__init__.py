"""Knowledge of which services' endpoints this instance and the others reach."""

from guavamast.relay.reachability.monitor import ReachabilityMonitor

__all__ = ["ReachabilityMonitor"]

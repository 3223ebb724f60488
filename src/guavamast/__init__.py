"""guavamast: a router for language-model traffic with service classes and priorities."""

from __future__ import annotations

from typing import Final

from guavamast.errors import ErrorCode, GuavamastError, Outcome, Refusal
from guavamast.fleet_objects import (
    CallRule,
    Configuration,
    Contract,
    Endpoint,
    FailureDomain,
    Instance,
    Organisation,
    ServiceClass,
)

__all__ = [
    "CallRule",
    "Configuration",
    "Contract",
    "Endpoint",
    "ErrorCode",
    "FailureDomain",
    "GuavamastError",
    "Instance",
    "Organisation",
    "Outcome",
    "Refusal",
    "ServiceClass",
    "__version__",
]

__version__: Final = "0.1.0"

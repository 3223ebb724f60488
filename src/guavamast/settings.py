"""Settings of one instance, shared by its entry and its dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from guavamast.world import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """What a process learns from its settings file."""

    instance: Instance
    """Its listeners' ports may be 0; the OS chooses then."""
    tables_url: str
    objects_url: str
    seeds: tuple[str, ...]
    """Peer addresses of dispatchers to ask first."""
    operator_token_file: Path | None
    statsd: str
    """``ip:port``; empty sends no metrics."""
    log_level: str = "info"
    log_format: str = "text"
    max_body_bytes: int = 1_048_576
    drain_wait_s: float = 600.0
    """Longest time a leaving daemon waits for work in flight."""
    address_validity_s: float = 10.0
    """Time for which callers may keep an answer of ``/v1/addresses``."""
    operation_retention_s: float = 604_800.0
    """Age at which a finished operation's row may be deleted."""

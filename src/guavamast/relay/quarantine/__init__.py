"""Keeps requests that end the endpoints they run on from further endpoints.

Ends are attributed to contents by what several ended endpoints had in common, all instances are
informed, and a content in quarantine is rejected. The package may use the rest of the relay; of
that, only the request path and the instance itself use this package.
"""

from guavamast.relay.quarantine.containment import Containment
from guavamast.relay.quarantine.evidence import CrashEvidence, Culprit
from guavamast.relay.quarantine.guard import CrashGuard
from guavamast.relay.quarantine.ledger import QuarantineLedger, Verdict
from guavamast.relay.quarantine.losses import PendingLosses
from guavamast.relay.quarantine.records import (
    Clearance,
    EndpointEnd,
    EndpointIncarnation,
    LostContent,
    Quarantine,
    QuarantineReport,
)
from guavamast.relay.quarantine.report_wire import (
    QUARANTINE_PREFIX,
    decode_quarantine_report,
    encode_quarantine_report,
)
from guavamast.relay.quarantine.rows import QuarantineRows

__all__ = [
    "QUARANTINE_PREFIX",
    "Clearance",
    "Containment",
    "CrashEvidence",
    "CrashGuard",
    "Culprit",
    "EndpointEnd",
    "EndpointIncarnation",
    "LostContent",
    "PendingLosses",
    "Quarantine",
    "QuarantineLedger",
    "QuarantineReport",
    "QuarantineRows",
    "Verdict",
    "decode_quarantine_report",
    "encode_quarantine_report",
]

"""Keeps requests that end the endpoints they run on from further endpoints.

Ends are attributed to what requests at several ended endpoints had in common: a content, or a part
of their prompts. All instances are informed, and requests with such an attribute are rejected. The
package may use the rest of the relay; of that, only the request path and the instance itself use
this package.
"""

from guavamast.relay.quarantine.answered_parts import AnsweredParts
from guavamast.relay.quarantine.attributes import (
    CONTENT,
    PROMPT_PART,
    find_kind,
    name_part,
)
from guavamast.relay.quarantine.containment import Containment
from guavamast.relay.quarantine.evidence import CrashEvidence, Culprit
from guavamast.relay.quarantine.guard import CrashGuard
from guavamast.relay.quarantine.ledger import Decision, QuarantineLedger, Verdict
from guavamast.relay.quarantine.losses import PendingLosses
from guavamast.relay.quarantine.records import (
    Clearance,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    Quarantine,
    QuarantineReport,
)
from guavamast.relay.quarantine.report_wire import (
    QUARANTINE_PREFIX,
    decode_quarantine_report,
    encode_quarantine_report,
)
from guavamast.relay.quarantine.rows import QuarantineRows
from guavamast.relay.quarantine.run_watch import RunWatch

__all__ = [
    "CONTENT",
    "PROMPT_PART",
    "QUARANTINE_PREFIX",
    "AnsweredParts",
    "Clearance",
    "Containment",
    "CrashEvidence",
    "CrashGuard",
    "Culprit",
    "Decision",
    "EndpointEnd",
    "EndpointIncarnation",
    "LostAttribute",
    "PendingLosses",
    "Quarantine",
    "QuarantineLedger",
    "QuarantineReport",
    "QuarantineRows",
    "RunWatch",
    "Verdict",
    "decode_quarantine_report",
    "encode_quarantine_report",
    "find_kind",
    "name_part",
]

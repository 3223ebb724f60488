"""Attributes of requests that may end endpoints, and how much evidence each kind needs.

An attribute is named by a text: the digest of a request's content, or `part:` and the id of a part
of its prompt. The same text is used in evidence, reports between instances, rows and log lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import CallerRequest

PART_PREFIX: Final = "part:"
"""Prefix of the name of a part of prompts; the name of a content is its digest alone."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttributeKind:
    """How ends of endpoints are attributed to one kind of attributes."""

    breadth: int
    """Rank by the requests that share such an attribute; 0 is the narrowest."""
    min_ends: int
    """Endpoints that must have ended under an attribute before it is kept from others."""
    min_ambiguous_ends: int
    """The same if other attributes explain the ends just as well."""
    allowed_ends: int
    """Endpoints that may end under an attribute before the fleet must have learned of it."""
    settle_s: float
    """Seconds from the report of an end until it counts. Other instances may report the same end,
    or an answer that shows the attribute innocent."""
    min_span_s: float
    """Seconds between the first and the last end at least."""
    shared: bool
    """Whether requests of any callers may have it."""
    acquitted_below_status: int
    """Lowest status of a complete response that shows nothing."""


CONTENT: Final = AttributeKind(
    breadth=0,
    min_ends=3,
    min_ambiguous_ends=4,
    allowed_ends=3,
    settle_s=0.5,
    min_span_s=0.0,
    shared=False,
    acquitted_below_status=500,
)
"""The whole request of an organisation, apart from its headers."""
PROMPT_PART: Final = AttributeKind(
    breadth=1,
    min_ends=4,
    min_ambiguous_ends=5,
    allowed_ends=5,
    # An answer that began just after the end has gone on for long enough, and is reported, by then.
    settle_s=1.5,
    # An outage ends many endpoints within this time, with the same common parts at each.
    min_span_s=2.0,
    shared=True,
    acquitted_below_status=300,
)
"""A part of the prompt that other requests may share: any but the last."""


def find_kind(attribute: str) -> AttributeKind:
    """Return the kind of an attribute."""
    return PROMPT_PART if attribute.startswith(PART_PREFIX) else CONTENT


def name_part(part_id: str) -> str:
    """Return the attribute of requests with a part in their prompts."""
    return PART_PREFIX + part_id


def list_part_attributes(request: CallerRequest) -> tuple[str, ...]:
    """Return the attributes of a request's prompt, each once."""
    names = [name_part(part_id) for part_id in request.shared_parts]
    return tuple(dict.fromkeys(names))

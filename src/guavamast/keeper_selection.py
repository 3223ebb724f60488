"""Selection of the dispatcher that keeps an endpoint.

The keeper manages the endpoint's queue and slots. It is selected without consensus: every process
ranks the serving members by rendezvous hash, those of the endpoint's region first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.rendezvous import rank

if TYPE_CHECKING:
    from guavamast.fleet_objects import Endpoint
    from guavamast.members import Member, MembershipView


def select_keeper(endpoint: Endpoint, view: MembershipView) -> Member | None:
    """Return the member that keeps an endpoint in this view.

    Members in the region of the endpoint's failure domain come first. If the link between regions
    fails, each region's endpoints still have a keeper that can reach them.

    Args:
        endpoint: The endpoint.
        view: The membership view of this process.

    Returns:
        The keeper, or None when no member serves.
    """
    serving = {member.instance.name: member for member in view.list_serving()}
    region = lookup_region(endpoint, view)
    local = [name for name, member in serving.items() if _region_of(member) == region]
    ranked = rank(endpoint.name, local or serving)
    return serving[ranked[0]] if ranked else None


def lookup_region(endpoint: Endpoint, view: MembershipView) -> str:
    """Return the region of an endpoint's failure domain; empty when no member is in it."""
    for member in view.members:
        if member.instance.failure_domain.name == endpoint.failure_domain:
            return _region_of(member)
    return ""


def _region_of(member: Member) -> str:
    return member.instance.failure_domain.region

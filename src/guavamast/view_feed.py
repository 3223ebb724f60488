"""Feed of configuration and members from a dispatcher to the entries that follow it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast import peer_pb2
from guavamast.member_codec import encode_member

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration
    from guavamast.members import MembershipView


class ViewFollower:
    """State of one entry's subscription to the feed."""

    __slots__ = ("changed", "sent_version")

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self.changed.set()
        self.sent_version = 0


class ViewFeed:
    """Publishes the latest configuration and view to followers; skips intermediate states.

    Args:
        instance: Name of this dispatcher's instance.
    """

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._configuration: Configuration | None = None
        self._view: MembershipView | None = None
        self._isolated = False
        self._followers: set[ViewFollower] = set()

    def set_configuration(self, configuration: Configuration) -> None:
        """Publish a configuration."""
        self._configuration = configuration
        self._wake()

    def set_view(self, view: MembershipView, *, isolated: bool = False) -> None:
        """Publish a view, and whether this dispatcher is isolated from all sources of changes."""
        self._view = view
        self._isolated = isolated
        self._wake()

    def add_follower(self) -> ViewFollower:
        """Return a new follower; its first message contains the full state."""
        follower = ViewFollower()
        self._followers.add(follower)
        return follower

    def remove_follower(self, follower: ViewFollower) -> None:
        """Remove a follower whose stream has ended."""
        self._followers.discard(follower)

    async def wait_message(self, follower: ViewFollower) -> peer_pb2.ViewMessage:
        """Wait for a change and return the message that brings a follower up to date."""
        await follower.changed.wait()
        follower.changed.clear()
        message = peer_pb2.ViewMessage(instance=self._instance, isolated=self._isolated)
        if self._view is not None:
            message.members.extend(encode_member(member) for member in self._view.members)
        configuration = self._configuration
        if configuration is not None:
            message.configuration_version = configuration.version
            if configuration.version > follower.sent_version:
                message.configuration_text = configuration.text
                follower.sent_version = configuration.version
        return message

    def _wake(self) -> None:
        for follower in self._followers:
            follower.changed.set()

"""Work served and attempts waiting, by service, precedence and organisation."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.relay.sharing.messages import OrganisationServed, OrganisationWaiting, ShareKey
from guavamast.relay.sharing.policy import EQUAL_SHARES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavamast.relay.sharing.policy import SharingPolicy

HALF_LIFE_S: Final = 4.0
"""Seconds in which served work decays by half: shares are fair over some seconds."""
IDLE_S: Final = 1.0
"""Seconds without a request after which an organisation counts as idle."""
CONTENTION_S: Final = 2.0
"""Seconds after the last waiting attempt for which served work is published."""
WAITING_MARGIN_S: Final = 0.1
"""Seconds added to the time until an attempt checks for room again: the message that tells of that
check takes a part of it."""
MIN_SERVED_MS: Final = 1.0
"""Milliseconds of engine time below which decayed work is dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Claims:
    """What waits of other organisations of a request's precedence, in relation to it."""

    attempts: int = 0
    """Attempts of organisations that were served less; they go before the request."""
    work_ms: float = 0.0
    """Their engine milliseconds."""
    behind: int = 0
    """Attempts of organisations that were served more; they yield to the request."""


NO_CLAIMS: Final = Claims()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    """An attempt that waits for room."""

    until: float
    """Time until which it is taken to wait, if no message tells its end."""
    work_ms: float


@dataclass(slots=True, kw_only=True)
class _Account:
    """What one organisation was served, here and elsewhere, and what waits here."""

    served_ms: float = 0.0
    lift_ms: float = 0.0
    """Work by which an organisation that was idle begins at the least counter of the others."""
    waiting: dict[str, _Waiting] = field(default_factory=dict)
    """The attempts that wait here, by their ids."""
    active_at: float = float("-inf")
    """Time of its last request, here or elsewhere."""
    updated: float = 0.0

    def decay(self, *, now: float) -> None:
        """Decay the work to the present time."""
        factor = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.served_ms *= factor
        self.lift_ms *= factor
        self.updated = now

    def drop_expired(self, *, now: float) -> None:
        """Drop the attempts that have not checked again in time."""
        for attempt in [key for key, one in self.waiting.items() if one.until < now]:
            del self.waiting[attempt]

    def sum_up_waiting(self) -> float:
        """Return the engine milliseconds of the attempts that wait."""
        return sum(one.work_ms for one in self.waiting.values())


@dataclass(slots=True, kw_only=True)
class _Peer:
    """What another instance has told."""

    served: dict[ShareKey, float] = field(default_factory=dict)
    """Engine milliseconds, as of when they were told."""
    served_at: float = 0.0
    waiting: dict[ShareKey, OrganisationWaiting] = field(default_factory=dict)
    waiting_at: float = 0.0

    def find_served(self, key: ShareKey, *, now: float) -> float:
        """Return the decayed engine milliseconds of an organisation."""
        factor = 0.5 ** (max(0.0, now - self.served_at) / HALF_LIFE_S)
        return self.served.get(key, 0.0) * factor


class ShareLedger:
    """Decides which waiting attempts have a claim to room before a request.

    Virtual token counters over decaying work: among the organisations of one precedence at one
    service, those that were served less by weight go first. An organisation that was idle begins
    at the least counter of the active ones, so idle time earns no credit. A claim ends when its
    attempt does not check again in time, so a lost instance blocks nothing.

    Args:
        policy: The operators' settings.
    """

    __slots__ = ("_accounts", "_contended_at", "_peers", "_policy")

    def __init__(self, policy: SharingPolicy = EQUAL_SHARES) -> None:
        self._policy = policy
        self._accounts: dict[tuple[str, int], dict[str, _Account]] = {}
        self._peers: dict[str, _Peer] = {}
        self._contended_at: dict[tuple[str, int], float] = {}

    def record_request(self, key: ShareKey, *, now: float) -> None:
        """Record that an organisation has sent a request, or one of its requests still waits."""
        if not self._policy.enabled:
            return
        account = self._get_account(key, now=now)
        if now - account.active_at >= IDLE_S:
            self._lift(key, account, now=now)
        account.active_at = now

    def charge(self, key: ShareKey, work_ms: float, *, now: float) -> None:
        """Charge an organisation for a request that was admitted.

        Args:
            key: The organisation.
            work_ms: Engine milliseconds; negative if an earlier charge was too high.
            now: The present time.
        """
        if self._policy.enabled:
            account = self._get_account(key, now=now)
            account.served_ms = max(0.0, account.served_ms + work_ms)

    def record_waiting(
        self, key: ShareKey, *, attempt: str, work_ms: float, wait_s: float, now: float
    ) -> None:
        """Record that an attempt goes on waiting for room, here or at its caller.

        Args:
            key: Its organisation.
            attempt: Its id.
            work_ms: Its engine milliseconds.
            wait_s: Seconds until it checks for room again.
            now: The present time.
        """
        if not self._policy.enabled:
            return
        account = self._get_account(key, now=now)
        until = now + wait_s + WAITING_MARGIN_S
        account.waiting[attempt] = _Waiting(until=until, work_ms=work_ms)
        self._contended_at[key.service, key.precedence] = now

    def end_waiting(self, key: ShareKey, *, attempt: str) -> None:
        """Record that an attempt no longer waits."""
        account = self._accounts.get((key.service, key.precedence), {}).get(key.organisation)
        if account is not None:
            account.waiting.pop(attempt, None)

    def find_claims(self, key: ShareKey, *, now: float) -> Claims:
        """Return what waits of other organisations, before a request of one of them and behind it.

        Args:
            key: The organisation of the request.
            now: The present time.
        """
        if not self._policy.enabled:
            return NO_CLAIMS
        waiting = self._sum_up_waiting(key, now=now)
        others = [organisation for organisation in waiting if organisation != key.organisation]
        if not others:
            return NO_CLAIMS
        own_ms = self._count(key, now=now)
        attempts, work_ms, behind = 0, 0.0, 0
        for organisation in others:
            deficit_ms = own_ms - self._count(key._replace(organisation=organisation), now=now)
            count, waiting_ms = waiting[organisation]
            if deficit_ms <= 0.0:
                behind += count
                continue
            # Once it has caught up, its further attempts compete on equal terms.
            mean_ms = max(1.0, waiting_ms / count)
            owed_ms = deficit_ms * self._policy.find_weight(organisation)
            claimed = min(count, math.ceil(owed_ms / mean_ms))
            attempts += claimed
            work_ms += claimed * mean_ms
        return Claims(attempts=attempts, work_ms=work_ms, behind=behind)

    def list_served(self, *, now: float) -> list[OrganisationServed]:
        """Return what organisations were served here; nothing where nobody has waited lately."""
        listed = []
        for service, precedence in self._list_contended(now=now):
            for organisation, account in self._accounts[service, precedence].items():
                account.decay(now=now)
                if account.served_ms >= MIN_SERVED_MS:
                    key = ShareKey(service, precedence, organisation)
                    listed.append(OrganisationServed(key=key, served_ms=account.served_ms))
        return listed

    def list_waiting(self, *, now: float) -> list[OrganisationWaiting]:
        """Return the attempts that wait here by organisation."""
        listed = []
        for service, precedence in self._list_contended(now=now):
            for organisation, account in self._accounts[service, precedence].items():
                account.drop_expired(now=now)
                if account.waiting:
                    waiting = OrganisationWaiting(
                        key=ShareKey(service, precedence, organisation),
                        attempts=len(account.waiting),
                        work_ms=account.sum_up_waiting(),
                        remaining_s=max(one.until for one in account.waiting.values()) - now,
                    )
                    listed.append(waiting)
        return listed

    def replace_peer_served(
        self, instance: str, served: list[OrganisationServed], *, now: float
    ) -> None:
        """Replace what organisations were served at another instance."""
        peer = self._peers.setdefault(instance, _Peer())
        for one in served:
            if one.served_ms > peer.find_served(one.key, now=now) + MIN_SERVED_MS:
                self.record_request(one.key, now=now)
        peer.served = {one.key: one.served_ms for one in served}
        peer.served_at = now

    def replace_peer_waiting(
        self, instance: str, waiting: list[OrganisationWaiting], *, now: float
    ) -> None:
        """Replace what waits at another instance; work served here is published there then."""
        peer = self._peers.setdefault(instance, _Peer())
        for one in waiting:
            self.record_request(one.key, now=now)
            self._contended_at[one.key.service, one.key.precedence] = now
        peer.waiting = {one.key: one for one in waiting}
        peer.waiting_at = now

    def retain_peers(self, instances: set[str]) -> None:
        """Drop what instances have told that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def read_served(self, key: ShareKey, *, now: float) -> float:
        """Return the decayed engine milliseconds of an organisation, over all instances."""
        own = self._accounts.get((key.service, key.precedence), {}).get(key.organisation)
        served_ms = 0.0
        if own is not None:
            own.decay(now=now)
            served_ms = own.served_ms
        return served_ms + sum(peer.find_served(key, now=now) for peer in self._peers.values())

    def _count(self, key: ShareKey, *, now: float) -> float:
        """Return an organisation's counter: its work and its lift, by its weight."""
        account = self._accounts.get((key.service, key.precedence), {}).get(key.organisation)
        served_ms = self.read_served(key, now=now)
        lift_ms = account.lift_ms if account is not None else 0.0
        return (served_ms + lift_ms) / self._policy.find_weight(key.organisation)

    def _lift(self, key: ShareKey, account: _Account, *, now: float) -> None:
        """Begin an organisation that was idle at the least counter of the active ones."""
        accounts = self._accounts[key.service, key.precedence]
        counters = [
            self._count(key._replace(organisation=organisation), now=now)
            for organisation, other in accounts.items()
            if organisation != key.organisation and now - other.active_at < IDLE_S
        ]
        if counters:
            missing = min(counters) - self._count(key, now=now)
            account.lift_ms += max(0.0, missing) * self._policy.find_weight(key.organisation)

    def _sum_up_waiting(self, key: ShareKey, *, now: float) -> dict[str, tuple[int, float]]:
        """Return the attempts that wait and their engine milliseconds by organisation."""
        totals: dict[str, tuple[int, float]] = {}
        for organisation, count, work_ms in self._list_waiting(key, now=now):
            known_count, known_ms = totals.get(organisation, (0, 0.0))
            totals[organisation] = (known_count + count, known_ms + work_ms)
        return totals

    def _list_waiting(self, key: ShareKey, *, now: float) -> Iterator[tuple[str, int, float]]:
        for organisation, account in self._accounts.get((key.service, key.precedence), {}).items():
            account.drop_expired(now=now)
            if account.waiting:
                yield organisation, len(account.waiting), account.sum_up_waiting()
        for peer in self._peers.values():
            for told, one in peer.waiting.items():
                if told[:2] == key[:2] and peer.waiting_at + one.remaining_s >= now:
                    yield told.organisation, one.attempts, one.work_ms

    def _list_contended(self, *, now: float) -> list[tuple[str, int]]:
        """Return where organisations have competed lately; requests without one are ignored."""
        return [
            place
            for place, accounts in self._accounts.items()
            if now - self._contended_at.get(place, float("-inf")) <= CONTENTION_S
            and set(accounts) != {""}
        ]

    def _get_account(self, key: ShareKey, *, now: float) -> _Account:
        accounts = self._accounts.setdefault((key.service, key.precedence), {})
        account = accounts.get(key.organisation)
        if account is None:
            _drop_unused(accounts, now=now)
            account = accounts[key.organisation] = _Account(updated=now)
        account.decay(now=now)
        return account


def _drop_unused(accounts: dict[str, _Account], *, now: float) -> None:
    """Drop the accounts of organisations whose work has decayed, so that memory stays bounded."""
    unused = []
    for organisation, account in accounts.items():
        account.decay(now=now)
        account.drop_expired(now=now)
        idle = not account.waiting and now - account.active_at >= IDLE_S
        if idle and account.served_ms + account.lift_ms < MIN_SERVED_MS:
            unused.append(organisation)
    for organisation in unused:
        del accounts[organisation]

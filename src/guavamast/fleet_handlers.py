"""HTTP handlers that tell callers of the fleet: addresses, models and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.addresses import choose_addresses
from guavamast.callers import CallerHandler

if TYPE_CHECKING:
    from guavamast.world import Instance


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models of the configuration."""
        self.read_request_id()
        self.find_caller()
        models = self.services.state.configuration.models.values()
        data = [{"id": m.name, "object": "model", "version": m.version} for m in models]
        self.finish({"object": "list", "data": data})


class AddressesHandler(CallerHandler):
    """``GET /v1/addresses``: which entries callers may use, without a key."""

    def get(self) -> None:
        """List instances to use, with the time for which the answer may be kept.

        The query's ``failure_domain`` names the caller's own, or its region.
        """
        answer = choose_addresses(
            self.services.state.view,
            caller_hint=self.get_query_argument(
                "failure_domain", self.services.state.instance.failure_domain.name
            ),
            seed=next(self.services.address_seeds),
            validity_s=self.services.address_validity_s,
        )
        addresses = [_show_address(member.instance) for member in answer.members]
        self.finish({"addresses": addresses, "valid_for_s": round(answer.valid_for_s, 3)})


def _show_address(instance: Instance) -> dict[str, str]:
    return {
        "instance": instance.name,
        "failure_domain": instance.failure_domain.name,
        "address": instance.caller_address,
    }


class HealthHandler(CallerHandler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Answer."""
        self.finish({"status": "alive"})


class ReadyHandler(CallerHandler):
    """``GET /readyz``: callers are served."""

    def get(self) -> None:
        """Answer 200, or 503 without a configuration or while leaving."""
        self.require_ready()
        self.finish({"status": "ready", "version": self.services.state.configuration.version})

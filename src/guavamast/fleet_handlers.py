"""HTTP handlers that inform callers about the fleet: addresses, models and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.addresses import choose_addresses
from guavamast.callers import CallerHandler

if TYPE_CHECKING:
    from guavamast.fleet_objects import Instance


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models of the configuration."""
        self.read_request_id()
        self.authenticate_caller()
        models = self.services.state.configuration.models.values()
        data = [{"id": m.name, "object": "model", "version": m.version} for m in models]
        self.finish({"object": "list", "data": data})


class AddressesHandler(CallerHandler):
    """``GET /v1/addresses``: entries that callers may use; requires no key."""

    def get(self) -> None:
        """List the instances to use and for how long the list may be cached.

        The query's ``failure_domain`` is the caller's failure domain or region.
        """
        choice = choose_addresses(
            self.services.state.view,
            caller_hint=self.get_query_argument(
                "failure_domain", self.services.state.instance.failure_domain.name
            ),
            seed=next(self.services.address_seeds),
            validity_s=self.services.address_validity_s,
        )
        addresses = [_format_address(member.instance) for member in choice.members]
        self.finish({"addresses": addresses, "valid_for_s": round(choice.valid_for_s, 3)})


def _format_address(instance: Instance) -> dict[str, str]:
    return {
        "instance": instance.name,
        "failure_domain": instance.failure_domain.name,
        "address": instance.caller_address,
    }


class HealthHandler(CallerHandler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Report that the process is alive."""
        self.finish({"status": "alive"})


class ReadyHandler(CallerHandler):
    """``GET /readyz``: the instance can serve callers."""

    def get(self) -> None:
        """Send 200, or 503 without a configuration or while leaving."""
        self.require_ready()
        self.finish({"status": "ready", "version": self.services.state.configuration.version})

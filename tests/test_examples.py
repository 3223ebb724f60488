"""Tests that the example files pass the checks and are consistent with each other."""

from __future__ import annotations

import unittest
from pathlib import Path

from guavamast.file_checks import check_files
from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import Configuration, EndpointKind
from guavamast.plans import WarningCode, compute_plan
from guavamast.settings import load_settings

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
SIZES = {"agence": (13, 4, 9, 4, 10), "cotopaxi": (14, 3, 6, 3, 10)}
"""Numbers of instances, failure domains, engines, service endpoints and organisations."""


class ExamplesTest(unittest.TestCase):
    """Both example deployments are valid without changes."""

    def test_every_file_is_without_findings(self) -> None:
        files = sorted(EXAMPLES.glob("**/*.ini"))
        self.assertEqual(len(files), 29)
        self.assertEqual(list(map(str, check_files([str(file) for file in files]))), [])

    def test_sizes(self) -> None:
        for name, sizes in SIZES.items():
            paths = sorted((EXAMPLES / name / "instances").glob("*.ini"))
            instances = [load_settings(path).instance for path in paths]
            fleet = self.load_fleet(name)
            kinds = [endpoint.kind for endpoint in fleet.endpoints.values()]
            domains = {instance.failure_domain.name for instance in instances}
            found = (
                len({instance.name for instance in instances}),
                len(domains),
                kinds.count(EndpointKind.ENGINE),
                kinds.count(EndpointKind.SERVICE),
                len(fleet.organisations),
            )
            self.assertEqual(found, sizes, name)
            addresses = {instance.peer_address for instance in instances}
            self.assertEqual(len(addresses), sizes[0])
            self.assertTrue(set(load_settings(paths[0]).seeds) <= addresses)
            self.assertEqual({e.failure_domain for e in fleet.endpoints.values()}, domains)

    def test_first_plan_warns_of_fencing_alone(self) -> None:
        for name in SIZES:
            plan = compute_plan(
                plan_id="p",
                base=Configuration(version=0),
                proposed=self.load_fleet(name),
                proposed_by="a",
                now=0.0,
            )
            codes = {warning.code for warning in plan.warnings}
            self.assertEqual(codes, {WarningCode.FENCING_IGNORED}, name)

    def load_fleet(self, name: str) -> Configuration:
        """Return the fleet configuration of a deployment."""
        text = (EXAMPLES / name / "fleet.ini").read_text(encoding="utf-8")
        return parse_configuration(text, file=name, version=1)

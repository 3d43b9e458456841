"""Objects are validated as a set, and all faults are reported at once."""

from typing import Any
import unittest

from wigeonford.bench import load_deployment
from wigeonford.errors import Code, SettingsError
from wigeonford.model import decode_set

VALID: dict[str, Any] = {
    "regions": [{"name": "north"}],
    "availability_zones": [{"name": "north-a", "region": "north"}],
    "services": [{"name": "catalogue"}],
    "routes": [{"name": "read", "path_prefix": "/c", "service": "catalogue"}],
}

INVALID_ROWS: tuple[tuple[str, dict[str, Any], str], ...] = (
    ("regions", {"name": ""}, "regions[0].name"),
    ("regions", {"name": 7}, "regions[0].name"),
    ("regions", {"name": "x", "colour": 1}, "regions[0].colour"),
    ("regions", {}, "regions[0].name"),
    ("shares", {"name": "s", "service": "x", "cap": 2}, "shares[0].cap"),
    ("entry_vm", {"name": "e"}, "entry_vm[0]"),
)

INCONSISTENT_ROWS = (
    (
        "availability_zones",
        {"name": "z", "region": "south"},
        "availability_zones.z.region",
    ),
    (
        "client_blocks",
        {"name": "b", "prefix": "1.2.3", "availability_zone": "north-a"},
        "client_blocks.b.prefix",
    ),
    (
        "shares",
        {"name": "s", "service": "catalogue", "cap": 0.1, "part": 0.2},
        "shares.s.part",
    ),
    (
        "routes",
        {"name": "again", "path_prefix": "/c", "service": "catalogue"},
        "routes.again.methods",
    ),
)


def _fault_paths(document: object) -> list[str]:
    try:
        decode_set(document)
    except SettingsError as exc:
        assert exc.code is Code.OBJECTS_INVALID
        return [fault.path for fault in exc.faults]
    return []


class ObjectSetTest(unittest.TestCase):
    """Decode sets of objects."""

    def test_valid_set_has_no_faults(self) -> None:
        self.assertEqual(_fault_paths(VALID), [])

    def test_bad_rows_are_located(self) -> None:
        for kind, row, path in INVALID_ROWS:
            with self.subTest(row=row):
                self.assertIn(f"objects.{path}", _fault_paths({kind: [row]}))

    def test_bad_sets_are_located(self) -> None:
        for kind, row, path in INCONSISTENT_ROWS:
            with self.subTest(row=row):
                rows = [*VALID.get(kind, []), row]
                self.assertIn(path, _fault_paths({**VALID, kind: rows}))

    def test_all_faults_come_at_once(self) -> None:
        document = {"regions": [{"name": 1}, {"nome": "x"}]}
        self.assertEqual(len(_fault_paths(document)), 3)

    def test_examples_have_the_sizes_of_the_brief(self) -> None:
        sizes = {
            "guild": {"catalogue": 14, "ledger": 12, "archive": 12},
            "authority": {"balance": 22, "refunds": 12, "photos": 12},
        }
        for name, expected_counts in sizes.items():
            deployment = load_deployment(name)
            objects = deployment.objects
            self.assertEqual(len(objects.regions), 3)
            self.assertEqual(len(objects.availability_zones), 6)
            self.assertEqual(len(objects.client_accounts), 8)
            self.assertIn(len(objects.entry_vms), range(8, 13))
            counts = dict.fromkeys(expected_counts, 0)
            for group in deployment.stand_ins.targets:
                counts[group.service] += group.count
            self.assertEqual(counts, expected_counts)

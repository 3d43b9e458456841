"""The modules that each role of the platform's daemon imports."""

import json
import subprocess
import sys
from typing import Final
import unittest

MAX_MODULES: Final = {"_entry_role": 400, "_control_role": 420}
"""Upper bounds: the modules of the libraries and about a hundred of
wigeonford itself."""
UNWANTED_MODULES: Final = {
    "_entry_role": (
        "wigeonford.bench",
        "wigeonford.claims",
        "wigeonford.cli",
        "wigeonford.control",
        "wigeonford.entry",
        "wigeonford.fleet",
        "wigeonford.model",
        "wigeonford.policy",
        "sqlite3",
    ),
    "_control_role": (
        "wigeonford.bench",
        "wigeonford.claims",
        "wigeonford.cli",
        "wigeonford.entry",
        "wigeonford.fleet",
        "wigeonford.policy",
        "wigeonford.steer",
        "sqlite3",
    ),
}


def _list_loaded_modules(role: str) -> list[str]:
    code = (
        "import json, sys\n"
        "import wigeonford.platform.daemon\n"
        f"import wigeonford.platform.{role}\n"
        "print(json.dumps(sorted(sys.modules)))\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded: list[str] = json.loads(result.stdout)
    return loaded


class RoleModulesTest(unittest.TestCase):
    """Guard against unneeded imports.

    On a VM with a fraction of a CPU core each module slows every start.
    """

    def test_each_role_loads_only_what_it_runs(self) -> None:
        for role, unwanted_modules in UNWANTED_MODULES.items():
            with self.subTest(role=role):
                loaded = _list_loaded_modules(role)
                found = [
                    name
                    for name in loaded
                    if any(
                        name == other or name.startswith(other + ".")
                        for other in unwanted_modules
                    )
                ]
                self.assertEqual(found, [])

    def test_the_count_of_modules_is_bounded(self) -> None:
        for role, max_count in MAX_MODULES.items():
            with self.subTest(role=role):
                self.assertLessEqual(
                    len(_list_loaded_modules(role)), max_count
                )

"""What each role of the platform's daemon loads at its start."""

import json
import subprocess
import sys
from typing import Final
import unittest

MOST_MODULES: Final = {"_entry_role": 400, "_control_role": 420}
"""About what the libraries load, and a hundred of our own."""
NOT_LOADED: Final = {
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


def _modules_of(role: str) -> list[str]:
    code = (
        "import json, sys\n"
        "import wigeonford.platform.daemon\n"
        f"import wigeonford.platform.{role}\n"
        "print(json.dumps(sorted(sys.modules)))\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded: list[str] = json.loads(done.stdout)
    return loaded


class RoleModulesTest(unittest.TestCase):
    """A VM with a part of a core pays for each module at each start."""

    def test_each_role_loads_only_what_it_runs(self) -> None:
        for role, unwanted in NOT_LOADED.items():
            with self.subTest(role=role):
                loaded = _modules_of(role)
                found = [
                    name
                    for name in loaded
                    if any(
                        name == other or name.startswith(other + ".")
                        for other in unwanted
                    )
                ]
                self.assertEqual(found, [])

    def test_the_count_of_modules_is_bounded(self) -> None:
        for role, most in MOST_MODULES.items():
            with self.subTest(role=role):
                self.assertLessEqual(len(_modules_of(role)), most)

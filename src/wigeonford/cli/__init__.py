"""The command line for operators."""

from wigeonford.cli._commands import main
import wigeonford.cli._control  # noqa: F401  registers commands
import wigeonford.cli._experiments  # noqa: F401  registers commands
from wigeonford.cli._operator import edits_between, OperatorClient
import wigeonford.cli._story  # noqa: F401  registers commands
import wigeonford.cli._traffic  # noqa: F401  registers commands

__all__ = ["OperatorClient", "edits_between", "main"]

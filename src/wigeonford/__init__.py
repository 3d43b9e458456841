"""Steer traffic between callers and targets across regions."""

from typing import Final

__version__: Final = "0.1.0"

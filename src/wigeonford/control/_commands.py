"""Commands: the records of the replicated log that change the state."""

from dataclasses import dataclass, field
from typing import Any, Final

from wigeonford.codec import Codec
from wigeonford.errors import Code
from wigeonford.peer import Member

COMMANDS: Final = Codec("command")

command = COMMANDS.register


@dataclass(frozen=True, slots=True)
class Edit:
    """Put or delete one object.

    `expected_version` is the version that the author saw, 0 for an object
    that must not exist yet. `data` is None to delete.
    """

    kind: str
    name: str
    expected_version: int
    data: dict[str, Any] | None


@command(1)
@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Apply edits as a whole, or refuse them as a whole."""

    change_id: str
    author: str
    time_s: float
    edits: tuple[Edit, ...]


@command(2)
@dataclass(frozen=True, slots=True)
class IssueKey:
    """Let a key, known by its keyed hash, act for a client account."""

    change_id: str
    author: str
    time_s: float
    key_id: str
    account: str
    digest: bytes


@command(3)
@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Stop a key for good."""

    change_id: str
    author: str
    time_s: float
    key_id: str


@command(4)
@dataclass(frozen=True, slots=True)
class RegisterMember:
    """Put an entry VM on the roster, or move it to another address."""

    member: Member


@command(5)
@dataclass(frozen=True, slots=True)
class ExpireMember:
    """Take an entry VM off the roster unless it has started anew."""

    name: str
    generation: int


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Tell what became of a command; `code` is a result code's number."""

    code: int
    revision: int
    detail: str = ""
    faults: tuple[str, ...] = field(default=())

    @property
    def accepted(self) -> bool:
        """Tell whether the command took effect."""
        return self.code == Code.OK.number

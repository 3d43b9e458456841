"""The commands of the replicated log that change the state."""

from typing import Any, Final

import msgspec

from wigeonford.codec import Codec
from wigeonford.errors import Code
from wigeonford.messages.object import Member

COMMANDS: Final = Codec("command")

command = COMMANDS.register


class Edit(msgspec.Struct, frozen=True):
    """Put or delete one object.

    `expected_version` is the version that the author last read, 0 for an
    object that must not exist yet. `data` is None to delete the object.
    """

    kind: str
    name: str
    expected_version: int
    data: dict[str, Any] | None


@command(1)
class ApplyChange(msgspec.Struct, frozen=True):
    """Apply all edits atomically, or reject all of them."""

    change_id: str
    author: str
    time_s: float
    edits: tuple[Edit, ...]


@command(2)
class IssueKey(msgspec.Struct, frozen=True):
    """Issue a key of a client account; only its keyed hash is stored."""

    change_id: str
    author: str
    time_s: float
    key_id: str
    account: str
    digest: bytes


@command(3)
class WithdrawKey(msgspec.Struct, frozen=True):
    """Withdraw a key permanently."""

    change_id: str
    author: str
    time_s: float
    key_id: str


@command(4)
class RegisterMember(msgspec.Struct, frozen=True):
    """Add an entry VM to the roster, or update its record."""

    member: Member


@command(5)
class ExpireMember(msgspec.Struct, frozen=True):
    """Remove an entry VM from the roster unless it has restarted."""

    name: str
    generation: int


class CommandResult(msgspec.Struct, frozen=True):
    """Report the outcome of a command; `code` is a `Code` number.

    `is_skipped` is set if the command could not be applied at all.
    """

    code: int
    revision: int
    detail: str = ""
    faults: tuple[str, ...] = msgspec.field(default=())
    is_skipped: bool = False

    @property
    def accepted(self) -> bool:
        """Return whether the command took effect."""
        return self.code == Code.OK.number

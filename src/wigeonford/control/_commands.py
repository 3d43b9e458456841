"""Commands: the records of the replicated log that change the state."""

from typing import Any, Final

import msgspec

from wigeonford.codec import Codec
from wigeonford.errors import Code
from wigeonford.messages.object import Member

COMMANDS: Final = Codec("command")

command = COMMANDS.register


class Edit(msgspec.Struct, frozen=True):
    """Put or delete one object.

    `expected_version` is the version that the author saw, 0 for an object
    that must not exist yet. `data` is None to delete.
    """

    kind: str
    name: str
    expected_version: int
    data: dict[str, Any] | None


@command(1)
class ApplyChange(msgspec.Struct, frozen=True):
    """Apply edits as a whole, or refuse them as a whole."""

    change_id: str
    author: str
    time_s: float
    edits: tuple[Edit, ...]


@command(2)
class IssueKey(msgspec.Struct, frozen=True):
    """Let a key, known by its keyed hash, act for a client account."""

    change_id: str
    author: str
    time_s: float
    key_id: str
    account: str
    digest: bytes


@command(3)
class WithdrawKey(msgspec.Struct, frozen=True):
    """Stop a key for good."""

    change_id: str
    author: str
    time_s: float
    key_id: str


@command(4)
class RegisterMember(msgspec.Struct, frozen=True):
    """Put an entry VM on the roster, or move it to another address."""

    member: Member


@command(5)
class ExpireMember(msgspec.Struct, frozen=True):
    """Take an entry VM off the roster unless it has started anew."""

    name: str
    generation: int


class CommandResult(msgspec.Struct, frozen=True):
    """Tell what became of a command; `code` is a result code's number."""

    code: int
    revision: int
    detail: str = ""
    faults: tuple[str, ...] = msgspec.field(default=())

    @property
    def accepted(self) -> bool:
        """Tell whether the command took effect."""
        return self.code == Code.OK.number

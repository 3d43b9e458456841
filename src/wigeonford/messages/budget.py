"""Messages that lease and lend parts of client accounts' budgets."""

from typing import NamedTuple

import msgspec

from wigeonford.peer import message


class ShareRow(NamedTuple):
    """Ask for millionths of one account's budget and for a loan.

    `returned_milli` counts thousandths of tokens; `need` and `spare` count
    whole ones.
    """

    account: str
    number: int
    held: int
    wanted: int
    spare: int
    returned_milli: int
    need: int


class GrantRow(NamedTuple):
    """Answer the `ShareRow` at the same place."""

    number: int
    units: int
    tokens_milli: int
    loan: int
    scarce: bool
    lenders: tuple[str, ...]


@message(50)
class ShareReport(msgspec.Struct, frozen=True):
    """Report the demand of every account that is active at an entry VM.

    `holder` names one run of the VM's process.
    """

    holder: str
    rows: tuple[ShareRow, ...]


@message(51)
class ShareReply(msgspec.Struct, frozen=True):
    """Answer a `ShareReport`, row by row."""

    rows: tuple[GrantRow, ...]


@message(52)
class LoanRequest(msgspec.Struct, frozen=True):
    """Ask a peer for whole tokens; the id makes it idempotent."""

    loan_id: str
    account: str
    tokens: int


@message(53)
class LoanReply(msgspec.Struct, frozen=True):
    """Answer a `LoanRequest`: tokens, and how long they may be spent."""

    tokens: int
    lifetime_ms: int

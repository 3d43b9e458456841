"""Messages that lease and lend client accounts' token budgets."""

from typing import NamedTuple

import msgspec

from wigeonford.peer import message


class BudgetRequestRow(NamedTuple):
    """Ask for a fraction of one account's budget and for a loan of tokens.

    `held` and `wanted` are millionths of the budget, `returned_milli` is
    in thousandths of a token, and `need` and `spare` are whole tokens.
    """

    account: str
    number: int
    held: int
    wanted: int
    spare: int
    returned_milli: int
    need: int


class BudgetGrantRow(NamedTuple):
    """Reply to the `BudgetRequestRow` at the same index.

    `units` are millionths of the budget; `loan` is in whole tokens.
    """

    number: int
    units: int
    tokens_milli: int
    loan: int
    scarce: bool
    lenders: tuple[str, ...]


@message(50)
class BudgetRequest(msgspec.Struct, frozen=True):
    """Report the demand of every account that is active at an entry VM.

    `holder` identifies one run of the VM's process.
    """

    holder: str
    rows: tuple[BudgetRequestRow, ...]


@message(51)
class BudgetReply(msgspec.Struct, frozen=True):
    """Reply to a `BudgetRequest`, row by row."""

    rows: tuple[BudgetGrantRow, ...]


@message(52)
class LoanRequest(msgspec.Struct, frozen=True):
    """Ask a peer for whole tokens; `loan_id` makes retries idempotent."""

    loan_id: str
    account: str
    tokens: int


@message(53)
class LoanReply(msgspec.Struct, frozen=True):
    """Reply to a `LoanRequest`; the tokens expire after `lifetime_ms`."""

    tokens: int
    lifetime_ms: int

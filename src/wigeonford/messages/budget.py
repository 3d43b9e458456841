"""Messages for leasing fractions of token budgets and for lending tokens.

The platform's path uses the quota lease messages of `messages/steering.py`
instead.
"""

from typing import NamedTuple

import msgspec

from wigeonford.peer import message


class BudgetRequestRow(NamedTuple):
    """Ask for a fraction of one account's budget and for a loan of tokens.

    `number` increases with each request of a holder for the account. `held`
    is the fraction that the holder has leased, and `wanted` the fraction that
    it requests, both in millionths of the budget. `spare` is how many whole
    tokens the holder could lend to peers. `returned_milli` is in thousandths
    of a token: the tokens above the capacity of a reduced quota fraction,
    which go back to the reserve. `need` is how many whole tokens to lend.
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

    `number` is that of the request. `units` is the leased fraction in
    millionths of the budget. `tokens_milli` is in thousandths of a token:
    the tokens transferred with an added fraction. `loan` is how many whole
    tokens the reserve lends. A budget is `scarce` if its holders want clearly
    more than all of it and no other holder has tokens to lend. `lenders` are
    up to two holders to ask for tokens; there are none if `loan` covers the
    `need`.
    """

    number: int
    units: int
    tokens_milli: int
    loan: int
    scarce: bool
    lenders: tuple[str, ...]


@message(50)
class BudgetRequest(msgspec.Struct, frozen=True):
    """Request budget for every active account of an entry VM.

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

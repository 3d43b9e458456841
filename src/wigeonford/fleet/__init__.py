"""Services of a control replica for operators and entry VMs."""

from wigeonford.fleet._budgets import BudgetService
from wigeonford.fleet._operator_api import OperatorApi
from wigeonford.fleet._service import ControlService

__all__ = ["BudgetService", "ControlService", "OperatorApi"]

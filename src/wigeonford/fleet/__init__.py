"""Serve the product's own operators and entry VMs on a control replica."""

from wigeonford.fleet._budgets import BudgetService
from wigeonford.fleet._operator_api import OperatorApi
from wigeonford.fleet._service import ControlService

__all__ = ["BudgetService", "ControlService", "OperatorApi"]

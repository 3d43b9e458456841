"""Deployments: routing configuration, published as one version."""

from wigeonford.deployment._changes import (
    apply_patch,
    DeploymentPatch,
    diff_deployments,
    share_unchanged,
)
from wigeonford.deployment._check import check_deployment
from wigeonford.deployment._evacuation import Evacuations
from wigeonford.deployment._routes import KeyTable, RouteTable, Splitter
from wigeonford.deployment._targets import (
    Announcement,
    AnnouncementEffect,
    check_announcement,
    is_target_address,
    MAX_COLD_S,
    MAX_COUNT,
    MAX_NAME_CHARS,
    MAX_SLOTS,
    Target,
    TargetTable,
)
from wigeonford.deployment._types import (
    Account,
    Deployment,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    Share,
)

__all__ = [
    "Account",
    "Announcement",
    "AnnouncementEffect",
    "apply_patch",
    "check_announcement",
    "check_deployment",
    "diff_deployments",
    "Deployment",
    "DeploymentPatch",
    "Evacuations",
    "is_target_address",
    "KeyTable",
    "MAX_COLD_S",
    "MAX_COUNT",
    "MAX_NAME_CHARS",
    "MAX_SLOTS",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "Share",
    "share_unchanged",
    "Splitter",
    "Target",
    "TargetTable",
]

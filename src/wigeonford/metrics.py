"""Metrics of a daemon, rendered for Prometheus."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

LATENCY_BUCKETS_S: Final = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
]  # fmt: skip


class Metrics:
    """Hold the metrics of one daemon in its own registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.results = Counter(
            "wigeonford_results_total",
            "Requests by result code and client account",
            registry=self._registry,
        )
        self.breaches = Counter(
            "wigeonford_invariant_breaches_total",
            "Breaches by invariant number",
            registry=self._registry,
        )
        self.attempts = Counter(
            "wigeonford_attempts_total",
            "Attempts at targets by service and outcome",
            registry=self._registry,
        )
        self.limited_attempts = Counter(
            "wigeonford_limited_attempts_total",
            "Attempts at targets that state a limit of their request rate, "
            "by service",
            registry=self._registry,
        )
        self.target_crashes = Counter(
            "wigeonford_target_crashes_total",
            "Crashes of targets under this VM's requests, by service",
            registry=self._registry,
        )
        self.connection_ends = Counter(
            "wigeonford_connection_ends_total",
            "Callers' connections that ended, by reason",
            registry=self._registry,
        )
        self.unanswered_requests = Counter(
            "wigeonford_unanswered_requests_total",
            "Requests whose connection this VM closed without a response, by "
            "reason",
            registry=self._registry,
        )
        self.revision = Gauge(
            "wigeonford_config_revision",
            "Revision of the configuration in force",
            registry=self._registry,
        )
        self.storage_works = Gauge(
            "wigeonford_storage_works",
            "1 while the disk takes writes, 0 while it takes none",
            registry=self._registry,
        )
        self.relayed = Counter(
            "wigeonford_relayed_attempts_total",
            "Attempts made through other entry VMs, by outcome",
            registry=self._registry,
        )
        self.targets_reached = Gauge(
            "wigeonford_targets_reached",
            "1 while this VM reaches targets over its own links, 0 while it "
            "reaches none",
            registry=self._registry,
        )
        self.quota_fraction = Gauge(
            "wigeonford_share_fraction",
            "Part of a client account's budget that this VM holds",
            registry=self._registry,
        )
        self.loans = Counter(
            "wigeonford_loans_total",
            "Loans of tokens that peers answered, by client account",
            registry=self._registry,
        )
        self.latency_s = Histogram(
            "wigeonford_request_latency_seconds",
            "Latency by client account and class",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.loop_late_s = Histogram(
            "wigeonford_loop_late_seconds",
            "How late the event loop runs what is due",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.token_wait_s = Histogram(
            "wigeonford_token_wait_seconds",
            "Wait for a token or its refusal, by client account",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def observe_request(
        self, account: str, request_class: str, seconds: float
    ) -> None:
        """Record the latency of one request."""
        labels = {"account": account, "class": request_class}
        self.latency_s.observe(labels, seconds)

    def count_connection_end(self, reason: str, is_unanswered: bool) -> None:
        """Count a connection that ended, and a request without a response."""
        self.connection_ends.inc({"reason": reason})
        if is_unanswered:
            self.unanswered_requests.inc({"reason": reason})

    def record_storage(self, works: bool) -> None:
        """Record whether the disk takes writes."""
        self.storage_works.set({}, int(works))

    def count_result(self, account: str, code_number: int) -> None:
        """Count one response by its result code."""
        self.results.inc({"account": account, "code": str(code_number)})

    def render(self) -> tuple[bytes, str]:
        """Return the exposition text and its content type.

        Histograms come last: a reader that takes only the beginning of a long
        text gets all counters.
        """
        formatter = TextFormatter()
        blocks = map(formatter.marshall_collector, self._registry.get_all())
        content = "\n".join([*blocks, ""]).encode()
        return content, formatter.get_headers()["Content-Type"]

"""Count requests and measure their times for the metrics address."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest


class Metrics:
    """Hold the counters and histograms of one daemon."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "acaciarill_requests",
            "Requests answered, by kind and status",
            ["kind", "status"],
            registry=self.registry,
        )
        self.seconds = Histogram(
            "acaciarill_request_seconds",
            "Time from a request's head to its answer",
            ["kind"],
            registry=self.registry,
        )

    def observe(self, kind: str, status: int, took_s: float) -> None:
        """Count one answered request."""
        self.requests.labels(kind, str(status)).inc()
        self.seconds.labels(kind).observe(took_s)

    def text(self) -> bytes:
        """Return the metrics in the text form that a scrape reads."""
        return generate_latest(self.registry)

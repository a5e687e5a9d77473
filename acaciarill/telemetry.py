"""Collect traces and metrics by OpenTelemetry, exported from the timer service."""

from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import httpx
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from prometheus_client import REGISTRY, generate_latest

MAX_BUFFERED_SPANS = 2048
EXPORT_TIMEOUT_S = 2.0

_PROPAGATOR = TraceContextTextMapPropagator()
_NOT_SAMPLED = "-00"
"""End of a traceparent header whose trace is not sampled: its hops need no spans."""


class SpanBuffer(SpanProcessor):
    """Keep ended spans up to a bound and count those dropped; starts no thread."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque()
        self.dropped = 0

    def on_end(self, span: ReadableSpan) -> None:
        """Keep a sampled span."""
        if not span.context.trace_flags.sampled:
            return
        if len(self.spans) >= MAX_BUFFERED_SPANS:
            self.dropped += 1
            return
        self.spans.append(span)

    def take(self) -> Sequence[ReadableSpan]:
        """Return the kept spans and forget them."""
        taken = list(self.spans)
        self.spans.clear()
        return taken


class Telemetry:
    """Hold the tracer and the instruments of one daemon."""

    def __init__(self, host: str, data_centre: str, trace_ratio: float, endpoint: str) -> None:
        self.endpoint = endpoint
        self.buffer = SpanBuffer()
        resource = Resource(
            {"service.name": "acaciarill", "host.name": host, "data_centre": data_centre}
        )
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(trace_ratio)),
            resource=resource,
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.buffer)
        self.tracer = provider.get_tracer("acaciarill")
        self.reader = PrometheusMetricReader()
        self.meters = MeterProvider([self.reader], resource=resource, shutdown_on_exit=False)
        meter = self.meters.get_meter("acaciarill")
        self.requests = meter.create_counter("acaciarill_requests", unit="1")
        self.request_seconds = meter.create_histogram("acaciarill_request_seconds", unit="s")
        self.tokens = meter.create_counter("acaciarill_tokens", unit="1")
        self.stopped_orders = meter.create_counter("acaciarill_orders_stopped", unit="1")
        self.samples = meter.create_counter("acaciarill_samples", unit="1")

    @contextmanager
    def span(
        self, name: str, attributes: dict[str, Any], trace_parent: str = ""
    ) -> Iterator[trace.Span]:
        """Run a block as one hop of the trace that `trace_parent` names."""
        if trace_parent.endswith(_NOT_SAMPLED):
            yield trace.INVALID_SPAN
            return
        context = _PROPAGATOR.extract({"traceparent": trace_parent}) if trace_parent else None
        span = self.tracer.start_span(name, context=context, attributes=attributes)
        try:
            yield span
        except Exception as error:
            span.set_attribute("error.type", type(error).__name__)
            raise
        finally:
            span.end()

    def trace_parent(self, span: trace.Span, default: str = "") -> str:
        """Return the header that carries this span's context on."""
        context = span.get_span_context()
        if not context.is_valid:
            return default
        flags = f"{int(context.trace_flags):02x}"
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags}"

    def render_metrics(self) -> bytes:
        """Return the metrics in the text form that a scrape reads."""
        return generate_latest(REGISTRY)

    async def export(self, http: httpx.AsyncClient) -> None:
        """Send the kept spans over OTLP; a failure drops and counts them."""
        spans = self.buffer.take()
        if not spans or not self.endpoint:
            return
        try:
            response = await http.post(
                self.endpoint + "/v1/traces",
                content=encode_spans(spans).SerializeToString(),
                headers={"content-type": "application/x-protobuf"},
                timeout=EXPORT_TIMEOUT_S,
            )
            response.raise_for_status()
        except httpx.HTTPError:
            self.buffer.dropped += len(spans)

    def close(self) -> None:
        """Unregister the metric reader."""
        self.meters.shutdown()

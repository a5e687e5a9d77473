"""Collect traces and metrics with OpenTelemetry; the timer service exports the spans."""

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
_NOT_SAMPLED_SUFFIX = "-00"
"""End of the traceparent header of an unsampled trace, for which no spans are recorded."""


class SpanBuffer(SpanProcessor):
    """Buffer ended spans up to a limit and count dropped ones, without an export thread."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque()
        self.dropped = 0

    def on_end(self, span: ReadableSpan) -> None:
        """Buffer a sampled span, or drop it if the buffer is full."""
        if not span.context.trace_flags.sampled:
            return
        if len(self.spans) >= MAX_BUFFERED_SPANS:
            self.dropped += 1
            return
        self.spans.append(span)

    def pop_spans(self) -> Sequence[ReadableSpan]:
        """Remove and return all buffered spans."""
        popped = list(self.spans)
        self.spans.clear()
        return popped


class Telemetry:
    """Provide the tracer and the metric instruments of one daemon."""

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
        self.metric_reader = PrometheusMetricReader()
        self.meter_provider = MeterProvider(
            [self.metric_reader], resource=resource, shutdown_on_exit=False
        )
        meter = self.meter_provider.get_meter("acaciarill")
        self.requests = meter.create_counter("acaciarill_requests", unit="1")
        self.request_seconds = meter.create_histogram("acaciarill_request_seconds", unit="s")
        self.tokens = meter.create_counter("acaciarill_tokens", unit="1")
        self.stopped_orders = meter.create_counter("acaciarill_orders_stopped", unit="1")
        self.closed_connections = meter.create_counter(
            "acaciarill_client_connections_closed", unit="1"
        )
        self.refused_bodies = meter.create_counter("acaciarill_client_refusals", unit="1")
        self.samples = meter.create_counter("acaciarill_samples", unit="1")

    @contextmanager
    def span(
        self, name: str, attributes: dict[str, Any], trace_parent: str = ""
    ) -> Iterator[trace.Span]:
        """Record a block as a span, a child of `trace_parent` if given (a traceparent header)."""
        if trace_parent.endswith(_NOT_SAMPLED_SUFFIX):
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
        """Return the traceparent header of a span, or `default` if the span is not recorded."""
        context = span.get_span_context()
        if not context.is_valid:
            return default
        flags = f"{int(context.trace_flags):02x}"
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags}"

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    async def export(self, http: httpx.AsyncClient) -> None:
        """Export the buffered spans over OTLP; after a failure, drop and count them."""
        spans = self.buffer.pop_spans()
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
        """Shut down the meter provider, which unregisters its metric reader."""
        self.meter_provider.shutdown()

"""Decode the platform's stored objects, batches and event streams, and encode result pages."""

import base64
from collections.abc import Iterable, Iterator
from typing import Any

import orjson
from eliot import log_message

from ..addresses import check_address
from ..batches import Item, ResultPage, ScoreRequest, StreamEvent, Submission
from ..batches.const import STATE_FAILED
from ..edge import EdgeLimits, check_event_size, check_request
from ..errors import BadRequestError, Step, UpstreamError
from ..fleet import (
    Configuration,
    Engine,
    Route,
    RouteKind,
    Scaling,
    Service,
    Upstream,
    group_routes_by_host,
)
from ..mirrors import DECODE_ERRORS, Record
from ..numerals import parse_natural
from ..untrusted_json import (
    decode_value,
    require_boolean,
    require_integer,
    require_list,
    require_string,
)
from .const import (
    CONFIG_OBJECT_NAME,
    HEADER_LENGTH_HINT,
    HEADER_REQUEST_ID,
    HEADER_TOKEN_COUNT,
    HEADER_WEIGHT_VERSIONS,
    RESULT_STATE_ERRORED,
    RESUMPTION_HEADERS,
    UPSTREAM_STATE_DRAINING,
    UPSTREAM_STATE_READY,
)

MS_PER_S = 1000
ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}


def decode_configuration(records: dict[str, Record]) -> Configuration | None:
    """Return the configuration, or None if none is stored or the stored one is malformed."""
    record = records.get(CONFIG_OBJECT_NAME)
    if record is None:
        return None
    try:
        return _decode_configuration(record.value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log_message(message_type="config:unreadable", revision=record.version, reason=repr(error))
        return None


def _decode_configuration(value: dict[str, Any]) -> Configuration:
    limits = value.get("limits") or {}
    customers = value.get("tenants")
    return Configuration(
        version=int(value["version"]),
        routes=group_routes_by_host([_decode_route(route) for route in value["routes"]]),
        services={service["name"]: _decode_service(service) for service in value["services"]},
        limits=EdgeLimits(
            max_header_bytes=int(limits.get("max_header_bytes", EdgeLimits().max_header_bytes)),
            max_body_bytes=int(limits.get("max_body_bytes", EdgeLimits().max_body_bytes)),
            header_timeout_s=limits.get("header_timeout_ms", 3000) / MS_PER_S,
            idle_timeout_s=limits.get("idle_timeout_ms", 15000) / MS_PER_S,
        ),
        customers=(
            None
            if customers is None
            else {key: customer["name"] for customer in customers for key in customer["api_keys"]}
        ),
        customer_priorities={
            customer["name"]: customer["priority"]
            for customer in customers or ()
            if "priority" in customer
        },
    )


def _decode_route(value: dict[str, Any]) -> Route:
    service_weights = tuple(
        (share["service"], float(share["weight"])) for share in value.get("traffic_split") or []
    )
    return Route(
        name=value["name"],
        host=value["hostname"],
        prefix=value["path_prefix"],
        kind=ROUTE_KINDS[value["kind"]],
        service_weights=service_weights or ((value["service"], 1.0),),
        timeout_s=value.get("timeout_ms", 30_000) / MS_PER_S,
        latency_objective_s=value.get("target_latency_ms", 1000) / MS_PER_S,
        max_attempts=int(value.get("max_attempts", 1)),
        priority=int(value.get("priority", 0)),
        public=bool(value.get("public", False)),
        resumable=bool(value.get("resumable", False)),
        single_version=bool(value.get("single_version", False)),
        result_deadline_s=value.get("result_deadline_ms", 0) / MS_PER_S,
        max_queue_s=_max_queue_s(value),
    )


def _max_queue_s(route: dict[str, Any]) -> float:
    return float(route.get("max_queue_s") or 0)


def _decode_service(value: dict[str, Any]) -> Service:
    engine, scaling = value.get("engine"), value.get("scaling")
    return Service(
        name=value["name"],
        max_connections=int(value.get("max_conns", 0)),
        engine=(
            None
            if engine is None
            else Engine(
                slots=int(engine["slots"]),
                kv_cache_capacity_tokens=int(engine.get("kv_cache_tokens", 0)),
                models=tuple(model["name"] for model in engine.get("models") or []),
            )
        ),
        scaling=(
            None
            if scaling is None
            else Scaling(
                minimum=int(scaling["min"]),
                maximum=int(scaling["max"]),
                boot_s=float(scaling.get("boot_s", 0)),
                cheap_price=float(scaling.get("spot_price", 1)),
                prices=dict(scaling.get("zone_prices") or {}),
            )
        ),
    )


def decode_upstream(record: Record) -> Upstream:
    """Return the upstream that a stored entry registers; raise one of DECODE_ERRORS."""
    value = record.value
    if value["state"] not in (UPSTREAM_STATE_READY, UPSTREAM_STATE_DRAINING):
        raise ValueError(f"unknown state {value['state']!r}")
    born, models = value.get("born"), value.get("models")
    return Upstream(
        id=record.name,
        lifetime=f"{record.name}/{'' if born is None else require_integer(born)}",
        service=require_string(value["service"]),
        address=check_address(require_string(value["address"])),
        data_centre=require_string(value["zone"]),
        slots=require_integer(value["slots"]),
        draining=value["state"] == UPSTREAM_STATE_DRAINING,
        versions={
            require_string(model["name"]): require_integer(model["version"])
            for model in ([] if models is None else require_list(models))
        },
        cheap=require_boolean(value.get("spot", False)),
        software_version=require_string(value["version"]),
    )


def decode_published_version(record: Record) -> tuple[str, int]:
    """Return a model and its published weight version; raise one of DECODE_ERRORS."""
    return require_string(record.value["model"]), require_integer(record.value["version"])


def decode_submission(body: bytes) -> Submission:
    """Decode the body of a batch submission; raise BadRequestError if it is malformed."""
    try:
        value = decode_value(body)
        return Submission(
            model=str(value.get("model", "")),
            min_version=require_integer(value.get("min_version", 0)),
            desired_groups=require_integer(value.get("desired", 0)),
            items=tuple(_decode_item(item) for item in value["items"]),
        )
    except DECODE_ERRORS as error:
        raise BadRequestError(f"malformed batch: {error!r}", step=Step.PARSE) from error


def _decode_item(value: dict[str, Any]) -> Item:
    headers = tuple(
        (name.encode("latin-1"), text.encode("latin-1"))
        for name, text in (value.get("headers") or {}).items()
        if name.lower().encode("latin-1") not in RESUMPTION_HEADERS
    )
    item_id, path = require_string(value["id"]), require_string(value["path"])
    request_id = (HEADER_REQUEST_ID, item_id.encode("latin-1"))
    check_request(path, [(b"Host", b"host"), *headers, request_id])
    return Item(
        id=item_id,
        path=path,
        headers=headers,
        body=base64.b64decode(value.get("body") or ""),
        tokens=require_integer(value.get("tokens", 0)),
        group=str(value.get("group", item_id)),
        expected_tokens=_length_hint(value.get("headers") or {}),
        score=_decode_score_request(value.get("scorer_url")),
        max_output_tokens=_max_output_tokens(value),
    )


def _decode_score_request(value: dict[str, Any] | None) -> ScoreRequest | None:
    if value is None:
        return None
    score = ScoreRequest(
        require_string(value["id"]),
        require_string(value["hostname"]),
        require_string(value["path"]),
        base64.b64decode(value["body"]),
    )
    headers = [(b"Host", score.host.encode()), (HEADER_REQUEST_ID, score.id.encode("latin-1"))]
    check_request(score.path, headers)
    return score


def _max_output_tokens(item: dict[str, Any]) -> int:
    """Return how many tokens the client allows, or 0 without a limit."""
    for name, text in (item.get("headers") or {}).items():
        if name.lower() == HEADER_TOKEN_COUNT:
            max_output_tokens = parse_natural(text.partition(",")[2])
            if max_output_tokens is not None:
                return max_output_tokens
    return require_integer(item.get("tokens", 0))


def _length_hint(headers: dict[str, str]) -> int:
    """Return the client's estimate of the number of output tokens, or 0 without an estimate."""
    for name, text in headers.items():
        if name.lower() == HEADER_LENGTH_HINT:
            return parse_natural(text) or 0
    return 0


def encode_result_page(page: ResultPage) -> bytes:
    """Return a page of batch results as JSON."""
    results = []
    for result in page.results:
        encoded: dict[str, Any] = {
            "id": result.id,
            "state": RESULT_STATE_ERRORED if result.state == STATE_FAILED else result.state,
            "output": result.text,
        }
        if result.versions:
            encoded["versions"] = list(result.versions)
        if result.score is not None:
            encoded["score"] = result.score
        results.append(encoded)
    return orjson.dumps({"total": page.total, "next": page.next_position, "results": results})


def parse_event_id(block: bytes) -> int | None:
    """Return the id of one complete event, or None if it has no id; raise UpstreamError."""
    for name, value in _event_fields(block):
        if name == b"id":
            return _parse_number(value)
    return None


class EventReader:
    """Split the bytes of a stream into events and buffer an incomplete event of limited size."""

    def __init__(self) -> None:
        self.partial_event = b""

    def __call__(self, chunk: bytes) -> Iterable[StreamEvent]:
        """Return the events that this chunk completes, except those without an id.

        Raise UpstreamError for a malformed or too long event.
        """
        *complete, self.partial_event = (self.partial_event + chunk).split(b"\n\n")
        check_event_size(self.partial_event)
        return [event for block in complete if (event := _parse_event(block)) is not None]

    def check_end(self) -> None:
        """Raise UpstreamError if the stream has ended in the middle of an event."""
        if self.partial_event.strip():
            raise UpstreamError("stream ended in the middle of an event", step=Step.RECEIVE)


def _event_fields(block: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the names and values of an event's lines."""
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        yield name, value.removeprefix(b" ")


def _parse_event(block: bytes) -> StreamEvent | None:
    """Return one complete event, or None if it has no id; raise UpstreamError."""
    event_id, version = None, None
    data: list[str] = []
    for name, value in _event_fields(block):
        if name == b"id":
            event_id = _parse_number(value)
        elif name == b"data":
            data.append(_decode_text(value))
        elif name == HEADER_WEIGHT_VERSIONS:
            version = _parse_number(value)
    if event_id is None:
        return None
    return StreamEvent(event_id, "\n".join(data), version)


def _parse_number(value: bytes) -> int:
    number = parse_natural(value)
    if number is None:
        raise UpstreamError("event is malformed: expected a number", step=Step.RECEIVE)
    return number


def _decode_text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise UpstreamError("event is malformed: not UTF-8", step=Step.RECEIVE) from error

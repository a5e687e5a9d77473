"""Decode what the platform's writers store into this product's types."""

import base64
from collections.abc import Iterable
from typing import Any

import orjson
from eliot import log_message

from ..batches import Item, ResultPage, ScoreRequest, StreamEvent, Submission
from ..batches.const import STATE_FAILED
from ..edge import EdgeLimits
from ..errors import BadRequestError, Step
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
from ..mirrors import Record
from .const import (
    CONFIG_NAME,
    HEADER_LENGTH_HINT,
    HEADER_VERSIONS,
    RESULT_ERRORED,
    STATE_DRAINING,
    STATE_READY,
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
    """Return the configuration, or None when none is stored or it cannot be read."""
    record = records.get(CONFIG_NAME)
    if record is None:
        return None
    try:
        return _configuration(record.value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log_message(message_type="config:unreadable", revision=record.version, reason=repr(error))
        return None


def _configuration(value: dict[str, Any]) -> Configuration:
    limits = value.get("limits") or {}
    customers = value.get("tenants") or []
    return Configuration(
        version=int(value["version"]),
        routes=group_routes_by_host([_route(item) for item in value["routes"]]),
        services={item["name"]: _service(item) for item in value["services"]},
        limits=EdgeLimits(
            header_bytes=int(limits.get("max_header_bytes", EdgeLimits().header_bytes)),
            body_bytes=int(limits.get("max_body_bytes", EdgeLimits().body_bytes)),
            header_timeout_s=limits.get("header_timeout_ms", 3000) / MS_PER_S,
            idle_timeout_s=limits.get("idle_timeout_ms", 15000) / MS_PER_S,
        ),
        customers={key: item["name"] for item in customers for key in item["api_keys"]},
        customer_priorities={
            item["name"]: item["priority"] for item in customers if "priority" in item
        },
    )


def _route(item: dict[str, Any]) -> Route:
    service_weights = tuple(
        (part["service"], float(part["weight"])) for part in item.get("traffic_split") or []
    )
    return Route(
        name=item["name"],
        host=item["hostname"],
        prefix=item["path_prefix"],
        kind=ROUTE_KINDS[item["kind"]],
        service_weights=service_weights or ((item["service"], 1.0),),
        timeout_s=item.get("timeout_ms", 30_000) / MS_PER_S,
        latency_objective_s=item.get("target_latency_ms", 1000) / MS_PER_S,
        max_attempts=int(item.get("max_attempts", 1)),
        priority=int(item.get("priority", 0)),
        public=bool(item.get("public", False)),
        resumable=bool(item.get("resumable", False)),
        single_version=bool(item.get("single_version", False)),
        result_deadline_s=item.get("result_deadline_ms", 0) / MS_PER_S,
        max_queue_s=_max_queue_s(item),
    )


def _max_queue_s(item: dict[str, Any]) -> float:
    return float(item.get("max_queue_s") or 0)


def _service(item: dict[str, Any]) -> Service:
    engine, scaling = item.get("engine"), item.get("scaling")
    return Service(
        name=item["name"],
        max_connections=int(item.get("max_conns", 0)),
        engine=(
            None
            if engine is None
            else Engine(
                slots=int(engine["slots"]),
                kv_cache_tokens=int(engine.get("kv_cache_tokens", 0)),
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


def decode_upstream(record: Record) -> Upstream | None:
    """Return a registered upstream, or None for an entry that is none."""
    value = record.value
    try:
        if value["state"] not in (STATE_READY, STATE_DRAINING):
            raise ValueError(value["state"])
        models = value.get("models") or []
        host, _, port = value["address"].rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(value["address"])
        return Upstream(
            id=record.name,
            lifetime=f"{record.name}/{value.get('born', '')}",
            service=_text(value["service"]),
            address=value["address"],
            data_centre=_text(value["zone"]),
            slots=_number(value["slots"]),
            draining=value["state"] == STATE_DRAINING,
            versions={_text(model["name"]): _number(model["version"]) for model in models},
            cheap=bool(value.get("spot", False)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log_message(message_type="upstream:unreadable", entry=record.name, reason=repr(error))
        return None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {value!r}")
    return value


def _number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected a whole number, got {value!r}")
    return value


def decode_named_versions(records: dict[str, Record]) -> dict[str, int]:
    """Return the newest named version of each model."""
    named: dict[str, int] = {}
    for record in records.values():
        try:
            named[_text(record.value["model"])] = _number(record.value["version"])
        except (KeyError, TypeError) as error:
            log_message(message_type="weights:unreadable", entry=record.name, reason=repr(error))
    return named


def decode_submission(body: bytes) -> Submission:
    """Read a submitted batch; raise BadRequestError."""
    try:
        value = orjson.loads(body)
        return Submission(
            model=str(value.get("model", "")),
            min_version=int(value.get("min_version", 0)),
            desired_groups=int(value.get("desired", 0)),
            items=tuple(_item(item) for item in value["items"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadRequestError(f"malformed batch: {error!r}", step=Step.PARSE) from error


def _item(value: dict[str, Any]) -> Item:
    headers = tuple(
        (name.encode("latin-1"), text.encode("latin-1"))
        for name, text in (value.get("headers") or {}).items()
    )
    score = value.get("scorer_url")
    return Item(
        id=value["id"],
        path=value["path"],
        headers=headers,
        body=base64.b64decode(value.get("body") or ""),
        tokens=int(value.get("tokens", 0)),
        group=str(value.get("group", value["id"])),
        expected_tokens=_hint(value.get("headers") or {}),
        score=(
            None
            if score is None
            else ScoreRequest(
                score["id"], score["hostname"], score["path"], base64.b64decode(score["body"])
            )
        ),
    )


def _hint(headers: dict[str, str]) -> int:
    """Return the requester's estimate of the output tokens, 0 where there is none."""
    for name, text in headers.items():
        if name.lower() == HEADER_LENGTH_HINT and text.isdigit():
            return int(text)
    return 0


def encode_page(page: ResultPage) -> bytes:
    """Return a page of results as its reader expects it."""
    results = []
    for result in page.results:
        item: dict[str, Any] = {
            "id": result.id,
            "state": RESULT_ERRORED if result.state == STATE_FAILED else result.state,
            "output": result.text,
        }
        if result.versions:
            item["versions"] = list(result.versions)
        if result.score is not None:
            item["score"] = result.score
        results.append(item)
    return orjson.dumps({"total": page.total, "next": page.next_position, "results": results})


def event_id(block: bytes) -> int | None:
    """Return the id of one whole event, None where it has none."""
    event = _event(block)
    return None if event is None else event.id


class EventReader:
    """Cut the bytes of a stream into events; a part of an event waits for its rest."""

    def __init__(self) -> None:
        self.rest = b""

    def __call__(self, chunk: bytes) -> Iterable[StreamEvent]:
        """Return the events that are whole with this chunk."""
        *whole, self.rest = (self.rest + chunk).split(b"\n\n")
        return [event for block in whole if (event := _event(block)) is not None]


def _event(block: bytes) -> StreamEvent | None:
    number, version = None, None
    data: list[str] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            number = int(value)
        elif name == b"data":
            data.append(value.decode())
        elif name == HEADER_VERSIONS:
            version = int(value)
    if number is None:
        return None
    return StreamEvent(number, "\n".join(data), version)

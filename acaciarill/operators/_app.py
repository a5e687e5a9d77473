"""Serve the operator endpoints over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..callers import new_key
from ..config.const import SECTION_PREFIX
from ..const import MAX_BODY_BYTES
from ..daemons.const import SOURCE_STORE
from ..errors import AcaciarillError, BadRequestError, Step, StoreConflictError
from ._daemon import OperatedDaemon
from ._identity import Operator, authenticate_operator
from ._withdrawal import query_coverage, withdraw_key
from .const import MAX_GRANT_ATTEMPTS, PLATFORM_OWNER

Handler = Callable[[Request, Operator], Awaitable[Any]]


class OperatorsApp:
    """Let operators inspect a daemon, and view and change the shared configuration through it."""

    def __init__(self, daemon: OperatedDaemon) -> None:
        self.daemon = daemon
        self.app = Starlette(
            routes=[
                Route("/status", self._build_endpoint(self._status)),
                Route("/metrics", self._build_endpoint(self._metrics)),
                Route("/upstreams", self._build_endpoint(self._upstreams)),
                Route("/config", self._build_endpoint(self._config)),
                Route("/config/history", self._build_endpoint(self._history)),
                Route("/config/coverage", self._build_endpoint(self._coverage)),
                Route("/config/revision/{revision:int}", self._build_endpoint(self._revision)),
                Route("/config/apply", self._build_endpoint(self._apply), methods=["POST"]),
                Route("/keys", self._build_endpoint(self._keys)),
                Route("/keys/grant", self._build_endpoint(self._grant), methods=["POST"]),
                Route("/keys/withdraw", self._build_endpoint(self._withdraw), methods=["POST"]),
            ]
        )

    def _build_endpoint(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            try:
                operator = authenticate_operator(request, self.daemon.settings.operator_digests)
                result = await handler(request, operator)
            except AcaciarillError as error:
                return _json_response(error.as_body(), error.status)
            return result if isinstance(result, Response) else _json_response(result)

        return handle

    async def _status(self, request: Request, operator: Operator) -> dict[str, Any]:
        daemon = self.daemon
        now = daemon.timer.now()
        return {
            "host": daemon.name,
            "data_centre": daemon.settings.data_centre,
            "incarnation": daemon.incarnation,
            "ready": daemon.callers.ready,
            "revision": daemon.config.document.revision,
            "fresh": daemon.heartbeats.is_fresh(),
            "store_contact": SOURCE_STORE in daemon.heartbeats.last_contact_at,
            "contact_age_s": {
                source: round(now - contact_at, 3)
                for source, contact_at in sorted(daemon.heartbeats.last_contact_at.items())
            },
            "relay": daemon.membership.is_relay(),
            "daemons": sorted(daemon.membership.daemons()),
            "duties": daemon.duties.held_duties(),
            "running": len(daemon.callers.running),
            "waiting": daemon.admission.queued_count,
            "groups_held": len(daemon.sample_producer.groups),
            "generations": daemon.sample_producer.running,
            "store_calls": daemon.store.call_count,
            "control_bytes": daemon.links.control_bytes()
            + daemon.server.control_bytes()
            + daemon.upstream_client.control_bytes,
            "spans_dropped": daemon.telemetry.buffer.dropped,
        }

    async def _metrics(self, request: Request, operator: Operator) -> Response:
        customers = self.daemon.config.document.customers.values()
        hidden_labels = [
            f'customer="{c.name}"'.encode() for c in customers if not operator.can_access(c.owner)
        ]
        lines = self.daemon.telemetry.render_metrics().splitlines(keepends=True)
        visible_lines = [
            line for line in lines if not any(label in line for label in hidden_labels)
        ]
        return Response(b"".join(visible_lines), media_type="text/plain; version=0.0.4")

    async def _upstreams(self, request: Request, operator: Operator) -> dict[str, Any]:
        now = self.daemon.timer.now()
        visible_upstreams = [
            {
                "name": state.upstream.name,
                "serves": state.upstream.serves,
                "data_centre": state.upstream.data_centre,
                "usable": state.is_usable(now),
                "leaving": state.leaving,
                "load": round(state.occupancy(), 3),
                "in_flight": state.in_flight,
                "version": state.version,
            }
            for section in self.daemon.config.document.sections.values()
            if operator.can_access(section.owner)
            for upstream in section.upstreams
            if (state := self.daemon.upstreams.states.get(upstream.name))
        ]
        return {"upstreams": visible_upstreams}

    async def _config(self, request: Request, operator: Operator) -> dict[str, Any]:
        head, _ = await self.daemon.config_store.read_head()
        sections = await self.daemon.config_store.read_sections(head)
        return {
            "revision": head.revision,
            "digests": _filter_by_access(head.digests, operator),
            "sections": _filter_by_access(sections, operator),
        }

    async def _history(self, request: Request, operator: Operator) -> dict[str, Any]:
        head, _ = await self.daemon.config_store.read_head()
        changes = [
            {"revision": c.revision, "at": c.at, "by": c.by, "owners": c.owners, "change_id": c.id}
            for c in head.changes
            if any(operator.can_access(owner) for owner in c.owners)
        ]
        return {"changes": changes}

    async def _revision(self, request: Request, operator: Operator) -> dict[str, Any]:
        revision = request.path_params["revision"]
        head, _ = await self.daemon.config_store.read_head()
        change = next((c for c in head.changes if c.revision == revision), None)
        if change is None:
            raise BadRequestError(
                f"revision {revision} is not among those that `config history` lists",
                step=Step.CONFIGURE,
                status=404,
                code="unknown-revision",
            )
        sections = {}
        for owner, digest in _filter_by_access(change.digests, operator).items():
            section_object = await self.daemon.store.get(SECTION_PREFIX + digest)
            sections[owner] = orjson.loads(section_object[0]) if section_object else {}
        return {"revision": revision, "sections": sections}

    async def _coverage(self, request: Request, operator: Operator) -> dict[str, Any]:
        revision = int(request.query_params.get("revision", "0"))
        return await query_coverage(self.daemon, revision)

    async def _apply(self, request: Request, operator: Operator) -> dict[str, Any]:
        body = await _read_json(request)
        sections = body.get("sections")
        if not isinstance(sections, dict) or not sections:
            raise BadRequestError(
                "sections: expected a non-empty object that maps owners to sections",
                step=Step.PARSE,
            )
        for owner in sections:
            operator.require_access(owner)
        accepted = await self.daemon.config_store.apply(
            sections, body.get("based_on"), body.get("change_id"), operator.owner
        )
        return {"revision": accepted.revision, "change_id": accepted.change_id}

    async def _keys(self, request: Request, operator: Operator) -> dict[str, Any]:
        document, withdrawn_key_ids = (
            self.daemon.config.document,
            self.daemon.config.withdrawn_key_ids,
        )
        keys = [
            {"id": key.id, "customer": key.customer, "withdrawn": key.id in withdrawn_key_ids}
            for section in document.sections.values()
            if operator.can_access(section.owner)
            for key in section.keys
        ]
        return {"keys": keys}

    async def _grant(self, request: Request, operator: Operator) -> dict[str, Any]:
        """Add a new key to the section of the customer's owner, and return it with its secret."""
        body = await _read_json(request)
        name = body.get("customer")
        customer = self.daemon.config.document.customers.get(name)
        if customer is None or not operator.can_access(customer.owner):
            raise BadRequestError(
                f"this token has access to no customer named {name!r}",
                step=Step.CONFIGURE,
                status=404,
                code="unknown-customer",
            )
        key_id, digest, bearer_token = new_key(customer.name)
        entry = {"id": key_id, "customer": customer.name, "digest": digest}
        store = self.daemon.config_store
        for _ in range(MAX_GRANT_ATTEMPTS):
            head, _version = await store.read_head()
            section = (await store.read_sections(head)).get(customer.owner, {})
            changed_section = section | {"keys": [*section.get("keys", []), entry]}
            try:
                accepted = await store.apply(
                    {customer.owner: changed_section}, head.digests, None, operator.owner
                )
            except StoreConflictError:
                continue
            return {"id": key_id, "key": bearer_token, "revision": accepted.revision}
        raise StoreConflictError(
            "the section of the customer's owner changed during every attempt; grant the key again",
            step=Step.CONFIGURE,
        )

    async def _withdraw(self, request: Request, operator: Operator) -> dict[str, Any]:
        body = await _read_json(request)
        key_id = body.get("id")
        key = self.daemon.config.document.keys.get(key_id)
        if key is None and operator.owner != PLATFORM_OWNER:
            raise _unknown_key_error(key_id)
        if key is not None:
            operator.require_access(self.daemon.config.document.customers[key.customer].owner)
        if not isinstance(key_id, str) or not key_id:
            raise _unknown_key_error(key_id)
        return await withdraw_key(self.daemon, key_id)


def _filter_by_access(by_owner: dict[str, Any], operator: Operator) -> dict[str, Any]:
    return {owner: value for owner, value in by_owner.items() if operator.can_access(owner)}


def _unknown_key_error(key_id: Any) -> BadRequestError:
    return BadRequestError(
        f"no key has the id {key_id!r}", step=Step.CONFIGURE, status=404, code="unknown-key"
    )


async def _read_json(request: Request) -> dict[str, Any]:
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            raise BadRequestError(
                f"request body exceeds {MAX_BODY_BYTES} bytes",
                step=Step.PARSE,
                status=413,
                code="too-large",
            )
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise BadRequestError("the request body is not valid JSON", step=Step.PARSE) from error
    if not isinstance(body, dict):
        raise BadRequestError("the request body is not a JSON object", step=Step.PARSE)
    return body


def _json_response(body: Any, status: int = 200) -> Response:
    return Response(orjson.dumps(body), status, media_type="application/json")

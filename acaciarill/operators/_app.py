"""Answer operators over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..callers import new_key
from ..config.const import SECTION_PREFIX
from ..daemons.const import SOURCE_STORE
from ..errors import AcaciarillError, BadRequestError, Step, StoreConflictError
from ._daemon import OperatedDaemon
from ._identity import Operator, identify
from ._withdrawal import ask_daemons, withdraw_key
from .const import GRANT_ATTEMPTS, OWNER_PLATFORM

Handler = Callable[[Request, Operator], Awaitable[Any]]


class OperatorsApp:
    """Show a daemon's state and change the configuration through it."""

    def __init__(self, daemon: OperatedDaemon) -> None:
        self.daemon = daemon
        self.app = Starlette(
            routes=[
                Route("/status", self._handler(self._status)),
                Route("/metrics", self._handler(self._metrics)),
                Route("/upstreams", self._handler(self._upstreams)),
                Route("/config", self._handler(self._config)),
                Route("/config/history", self._handler(self._history)),
                Route("/config/coverage", self._handler(self._coverage)),
                Route("/config/revision/{revision:int}", self._handler(self._revision)),
                Route("/config/apply", self._handler(self._apply), methods=["POST"]),
                Route("/keys", self._handler(self._keys)),
                Route("/keys/grant", self._handler(self._grant), methods=["POST"]),
                Route("/keys/withdraw", self._handler(self._withdraw), methods=["POST"]),
            ]
        )

    def _handler(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            try:
                operator = identify(request, self.daemon.settings.operator_digests)
                answer = await handler(request, operator)
            except AcaciarillError as error:
                return _json(error.as_body(), error.status)
            return answer if isinstance(answer, Response) else _json(answer)

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
                source: round(now - moment, 3)
                for source, moment in sorted(daemon.heartbeats.last_contact_at.items())
            },
            "relay": daemon.membership.is_relay(),
            "daemons": sorted(daemon.membership.daemons()),
            "duties": daemon.duties.held_duties(),
            "running": len(daemon.callers.running),
            "waiting": daemon.admission.waiting,
            "groups_held": len(daemon.sample_producer.groups),
            "generations": daemon.sample_producer.running,
            "store_calls": daemon.store.calls,
            "control_bytes": daemon.links.control_bytes()
            + daemon.server.control_bytes()
            + daemon.upstream_client.control_bytes,
            "spans_dropped": daemon.telemetry.buffer.dropped,
        }

    async def _metrics(self, request: Request, operator: Operator) -> Response:
        customers = self.daemon.config.document.customers.values()
        hidden = [f'customer="{c.name}"'.encode() for c in customers if not operator.may(c.owner)]
        lines = self.daemon.telemetry.render_metrics().splitlines(keepends=True)
        shown = [line for line in lines if not any(label in line for label in hidden)]
        return Response(b"".join(shown), media_type="text/plain; version=0.0.4")

    async def _upstreams(self, request: Request, operator: Operator) -> dict[str, Any]:
        now = self.daemon.timer.now()
        shown = [
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
            if operator.may(section.owner)
            for upstream in section.upstreams
            if (state := self.daemon.upstreams.states.get(upstream.name))
        ]
        return {"upstreams": shown}

    async def _config(self, request: Request, operator: Operator) -> dict[str, Any]:
        head, _ = await self.daemon.config_store.read_head()
        sections = await self.daemon.config_store.read_sections(head)
        return {
            "revision": head.revision,
            "digests": _visible(head.digests, operator),
            "sections": _visible(sections, operator),
        }

    async def _history(self, request: Request, operator: Operator) -> dict[str, Any]:
        head, _ = await self.daemon.config_store.read_head()
        changes = [
            {"revision": c.revision, "at": c.at, "by": c.by, "owners": c.owners, "change_id": c.id}
            for c in head.changes
            if any(operator.may(owner) for owner in c.owners)
        ]
        return {"changes": changes}

    async def _revision(self, request: Request, operator: Operator) -> dict[str, Any]:
        wanted = request.path_params["revision"]
        head, _ = await self.daemon.config_store.read_head()
        change = next((c for c in head.changes if c.revision == wanted), None)
        if change is None:
            raise BadRequestError(
                f"revision {wanted} is not among the latest",
                step=Step.CONFIGURE,
                status=404,
                code="unknown-revision",
            )
        sections = {}
        for owner, digest in _visible(change.digests, operator).items():
            found = await self.daemon.store.get(SECTION_PREFIX + digest)
            sections[owner] = orjson.loads(found[0]) if found else {}
        return {"revision": wanted, "sections": sections}

    async def _coverage(self, request: Request, operator: Operator) -> dict[str, Any]:
        revision = int(request.query_params.get("revision", "0"))
        return await ask_daemons(self.daemon, revision)

    async def _apply(self, request: Request, operator: Operator) -> dict[str, Any]:
        body = await _read_json(request)
        sections = body.get("sections")
        if not isinstance(sections, dict) or not sections:
            raise BadRequestError("sections: expected an object by owner", step=Step.PARSE)
        for owner in sections:
            operator.require(owner)
        accepted = await self.daemon.config_store.apply(
            sections, body.get("based_on"), body.get("change_id"), operator.owner
        )
        return {"revision": accepted.revision, "change_id": accepted.change_id}

    async def _keys(self, request: Request, operator: Operator) -> dict[str, Any]:
        document, withdrawn = self.daemon.config.document, self.daemon.config.withdrawn
        keys = [
            {"id": key.id, "customer": key.customer, "withdrawn": key.id in withdrawn}
            for section in document.sections.values()
            if operator.may(section.owner)
            for key in section.keys
        ]
        return {"keys": keys}

    async def _grant(self, request: Request, operator: Operator) -> dict[str, Any]:
        """Add a new key to the section of its customer's owner."""
        body = await _read_json(request)
        name = body.get("customer")
        customer = self.daemon.config.document.customers.get(name)
        if customer is None or not operator.may(customer.owner):
            raise BadRequestError(
                f"no such customer: {name!r}",
                step=Step.CONFIGURE,
                status=404,
                code="unknown-customer",
            )
        key_id, digest, text = new_key(customer.name)
        entry = {"id": key_id, "customer": customer.name, "digest": digest}
        store = self.daemon.config_store
        for _ in range(GRANT_ATTEMPTS):
            head, _version = await store.read_head()
            section = (await store.read_sections(head)).get(customer.owner, {})
            changed = section | {"keys": [*section.get("keys", []), entry]}
            try:
                accepted = await store.apply(
                    {customer.owner: changed}, head.digests, None, operator.owner
                )
            except StoreConflictError:
                continue
            return {"id": key_id, "key": text, "revision": accepted.revision}
        raise StoreConflictError("the section kept changing", step=Step.CONFIGURE)

    async def _withdraw(self, request: Request, operator: Operator) -> dict[str, Any]:
        body = await _read_json(request)
        key_id = body.get("id")
        key = self.daemon.config.document.keys.get(key_id)
        if key is None and operator.owner != OWNER_PLATFORM:
            raise _unknown_key(key_id)
        if key is not None:
            operator.require(self.daemon.config.document.customers[key.customer].owner)
        if not isinstance(key_id, str) or not key_id:
            raise _unknown_key(key_id)
        return await withdraw_key(self.daemon, key_id)


def _visible(by_owner: dict[str, Any], operator: Operator) -> dict[str, Any]:
    return {owner: value for owner, value in by_owner.items() if operator.may(owner)}


def _unknown_key(key_id: Any) -> BadRequestError:
    return BadRequestError(
        f"no such key: {key_id!r}", step=Step.CONFIGURE, status=404, code="unknown-key"
    )


async def _read_json(request: Request) -> dict[str, Any]:
    try:
        body = orjson.loads(await request.body())
    except orjson.JSONDecodeError as error:
        raise BadRequestError("the body is not JSON", step=Step.PARSE) from error
    if not isinstance(body, dict):
        raise BadRequestError("the body is not a JSON object", step=Step.PARSE)
    return body


def _json(body: Any, status: int = 200) -> Response:
    return Response(orjson.dumps(body), status, media_type="application/json")

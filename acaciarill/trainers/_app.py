"""Answer trainers' requests under `/v1/steps`."""

from typing import Any

import orjson

from ..callers import Caller
from ..callers.const import PATH_STEPS
from ..config import ConfigCoordinator, Model
from ..const import MS_PER_S
from ..errors import AcaciarillError, BadRequestError, Step
from ..peers import messages
from ._cursor import Cursor
from ._producer import StepKey
from ._steps import StepRequest, StepService
from .const import (
    DEFAULT_PULL_LIMIT,
    MAX_CONSUMERS,
    MAX_GROUPS,
    MAX_PROMPT_CHARACTERS,
    MAX_PULL_LIMIT,
    MAX_PULL_WAIT_MS,
    MAX_SAMPLES_PER_GROUP,
    MAX_SLOTS,
    MAX_TOKENS,
)


class StepsApp:
    """Read trainers' requests, check them and answer in JSON."""

    def __init__(self, config: ConfigCoordinator, steps: StepService) -> None:
        self.config = config
        self.steps = steps

    async def serve(self, method: str, path: str, data: bytes, caller: Caller) -> bytes:
        """Answer one request of an authenticated trainer; raise AcaciarillError."""
        parts = path.removeprefix(PATH_STEPS).strip("/").split("/")
        if method != "POST":
            raise _bad("steps need POST", status=405, code="wrong-method")
        body = _parse(data)
        if len(parts) == 2:
            key = StepKey(caller.customer, *parts)
            answer = await self._submit(key, caller.owner, body)
        elif len(parts) == 3 and parts[2] == "pull":
            key = StepKey(caller.customer, parts[0], parts[1])
            answer = await self._pull(key, body)
        else:
            raise _bad("no such route", status=404, code="unknown-route")
        return orjson.dumps(answer)

    async def _submit(self, key: StepKey, owner: str, body: dict[str, Any]) -> dict[str, Any]:
        model = self.config.document.models.get(body.get("model", ""))
        if model is None or model.owner != owner:
            raise _bad("model: no such model", status=404, code="unknown-model")
        request = _read_step(key, model, body)
        await self.steps.submit(request)
        sizes = [spec.samples for spec in request.groups]
        cursors = [
            Cursor(
                request.digest,
                model.name,
                request.staleness_bound,
                request.consumers,
                consumer,
                sizes,
            ).encode()
            for consumer in range(request.consumers)
        ]
        return {"slots": sum(sizes), "groups": len(sizes), "cursors": cursors}

    async def _pull(self, key: StepKey, body: dict[str, Any]) -> dict[str, Any]:
        text = body.get("cursor")
        if not isinstance(text, str):
            raise _bad("cursor: expected a text")
        cursor = Cursor.decode(text)
        model = self.config.document.models.get(cursor.model)
        if model is not None:
            cursor.staleness_bound = min(cursor.staleness_bound, model.staleness_bound)
        version = _number(body, "weight_version", 0, 0, 1 << 62)
        limit = _number(body, "limit", DEFAULT_PULL_LIMIT, 1, MAX_PULL_LIMIT)
        wait_ms = _number(body, "wait_ms", 0, 0, MAX_PULL_WAIT_MS)
        pulled = await self.steps.pull(key, cursor, version, limit, wait_ms / MS_PER_S)
        return {
            "samples": [_sample_body(sample) for sample in pulled.samples],
            "cursor": cursor.encode(),
            "remaining": cursor.remaining(),
            "submit_again": pulled.missing,
        }


def _parse(data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _bad("the body is not JSON", code="bad-json") from error
    if not isinstance(body, dict):
        raise _bad("the body is not a JSON object")
    return body


def _read_step(key: StepKey, model: Model, body: dict[str, Any]) -> StepRequest:
    groups = body.get("groups")
    if not isinstance(groups, list) or not 1 <= len(groups) <= MAX_GROUPS:
        raise _bad(f"groups: expected a list of 1 to {MAX_GROUPS}")
    specs = [_read_group(number, group) for number, group in enumerate(groups)]
    if sum(spec.samples for spec in specs) > MAX_SLOTS:
        raise _bad(f"groups: over {MAX_SLOTS} samples in all")
    bound = _number(body, "staleness_bound", model.staleness_bound, 0, model.staleness_bound)
    consumers = _number(body, "consumers", 1, 1, MAX_CONSUMERS)
    return StepRequest(key, model.name, bound, consumers, specs)


def _read_group(number: int, group: Any) -> Any:
    if not isinstance(group, dict):
        raise _bad(f"groups[{number}]: expected an object")
    prompt = group.get("prompt")
    if not isinstance(prompt, str) or not 1 <= len(prompt) <= MAX_PROMPT_CHARACTERS:
        raise _bad(f"groups[{number}].prompt: expected 1 to {MAX_PROMPT_CHARACTERS} characters")
    return messages.GroupSpec(
        group=number,
        prompt=prompt,
        samples=_number(group, "samples", 1, 1, MAX_SAMPLES_PER_GROUP),
        max_tokens=_number(group, "max_tokens", 64, 1, MAX_TOKENS),
    )


def _number(body: dict[str, Any], name: str, default: int, low: int, high: int) -> int:
    value = body.get(name, default)
    if type(value) is not int or not low <= value <= high:
        raise _bad(f"{name}: expected a number from {low} to {high}")
    return value


def _sample_body(sample: Any) -> dict[str, Any]:
    return {
        "group": sample.group,
        "index": sample.index,
        "sample_id": sample.sample_id,
        "text": sample.text,
        "score": sample.score,
        "weight_versions": [[span.version, span.tokens] for span in sample.spans],
    }


def _bad(message: str, status: int = 400, code: str = "bad-request") -> AcaciarillError:
    return BadRequestError(message, step=Step.PARSE, status=status, code=code)

"""Serve the trainers' interface under `/v1/steps`."""

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
    DEFAULT_PULL_SAMPLES,
    MAX_CONSUMERS,
    MAX_GROUPS_PER_STEP,
    MAX_PROMPT_CHARACTERS,
    MAX_PULL_SAMPLES,
    MAX_PULL_WAIT_MS,
    MAX_SAMPLES_PER_GROUP,
    MAX_SAMPLES_PER_STEP,
    MAX_TOKENS_PER_SAMPLE,
)


class StepsApp:
    """Parse and validate trainers' requests; respond in JSON."""

    def __init__(self, config: ConfigCoordinator, steps: StepService) -> None:
        self.config = config
        self.steps = steps

    async def serve(self, method: str, path: str, data: bytes, caller: Caller) -> bytes:
        """Return the response to a request of an authenticated trainer; raise AcaciarillError."""
        parts = path.removeprefix(PATH_STEPS).strip("/").split("/")
        if method != "POST":
            raise _bad_request_error("steps accept only POST", status=405, code="wrong-method")
        body = _parse_body(data)
        if len(parts) == 2:
            key = StepKey(caller.customer, *parts)
            response = await self._submit(key, caller.owner, body)
        elif len(parts) == 3 and parts[2] == "pull":
            key = StepKey(caller.customer, parts[0], parts[1])
            response = await self._pull(key, body)
        else:
            raise _bad_request_error("no such route", status=404, code="unknown-route")
        return orjson.dumps(response)

    async def _submit(self, key: StepKey, owner: str, body: dict[str, Any]) -> dict[str, Any]:
        model = self.config.document.models.get(body.get("model", ""))
        if model is None or model.owner != owner:
            raise _bad_request_error("model: unknown model", status=404, code="unknown-model")
        request = _parse_step(key, model, body)
        await self.steps.submit(request)
        group_sizes = [spec.samples for spec in request.groups]
        cursors = [
            Cursor(
                request.digest,
                model.name,
                request.staleness_bound,
                request.consumers,
                consumer,
                group_sizes,
            ).encode()
            for consumer in range(request.consumers)
        ]
        return {"slots": sum(group_sizes), "groups": len(group_sizes), "cursors": cursors}

    async def _pull(self, key: StepKey, body: dict[str, Any]) -> dict[str, Any]:
        text = body.get("cursor")
        if not isinstance(text, str):
            raise _bad_request_error("cursor: expected a string")
        cursor = Cursor.decode(text)
        model = self.config.document.models.get(cursor.model)
        if model is not None:
            cursor.staleness_bound = min(cursor.staleness_bound, model.staleness_bound)
        version = _read_integer(body, "weight_version", 0, 0, 1 << 62)
        limit = _read_integer(body, "limit", DEFAULT_PULL_SAMPLES, 1, MAX_PULL_SAMPLES)
        wait_ms = _read_integer(body, "wait_ms", 0, 0, MAX_PULL_WAIT_MS)
        result = await self.steps.pull(key, cursor, version, limit, wait_ms / MS_PER_S)
        return {
            "samples": [_sample_to_json(sample) for sample in result.samples],
            "cursor": cursor.encode(),
            "remaining": cursor.remaining_samples(),
            "submit_again": result.unknown_groups,
        }


def _parse_body(data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _bad_request_error("the body is not JSON", code="bad-json") from error
    if not isinstance(body, dict):
        raise _bad_request_error("the body is not a JSON object")
    return body


def _parse_step(key: StepKey, model: Model, body: dict[str, Any]) -> StepRequest:
    groups = body.get("groups")
    if not isinstance(groups, list) or not 1 <= len(groups) <= MAX_GROUPS_PER_STEP:
        raise _bad_request_error(
            f"groups: expected a list with a length from 1 to {MAX_GROUPS_PER_STEP}"
        )
    specs = [_parse_group(number, group) for number, group in enumerate(groups)]
    if sum(spec.samples for spec in specs) > MAX_SAMPLES_PER_STEP:
        raise _bad_request_error(
            f"groups: expected at most {MAX_SAMPLES_PER_STEP} samples in total"
        )
    bound = _read_integer(body, "staleness_bound", model.staleness_bound, 0, model.staleness_bound)
    consumers = _read_integer(body, "consumers", 1, 1, MAX_CONSUMERS)
    return StepRequest(key, model.name, bound, consumers, specs)


def _parse_group(number: int, group: Any) -> Any:
    if not isinstance(group, dict):
        raise _bad_request_error(f"groups[{number}]: expected an object")
    prompt = group.get("prompt")
    if not isinstance(prompt, str) or not 1 <= len(prompt) <= MAX_PROMPT_CHARACTERS:
        raise _bad_request_error(
            f"groups[{number}].prompt: expected 1 to {MAX_PROMPT_CHARACTERS} characters"
        )
    return messages.GroupSpec(
        group=number,
        prompt=prompt,
        samples=_read_integer(group, "samples", 1, 1, MAX_SAMPLES_PER_GROUP),
        max_tokens=_read_integer(group, "max_tokens", 64, 1, MAX_TOKENS_PER_SAMPLE),
    )


def _read_integer(body: dict[str, Any], name: str, default: int, low: int, high: int) -> int:
    value = body.get(name, default)
    if type(value) is not int or not low <= value <= high:
        raise _bad_request_error(f"{name}: expected an integer from {low} to {high}")
    return value


def _sample_to_json(sample: Any) -> dict[str, Any]:
    return {
        "group": sample.group,
        "index": sample.index,
        "sample_id": sample.sample_id,
        "text": sample.text,
        "score": sample.score,
        "weight_versions": [[span.version, span.tokens] for span in sample.spans],
    }


def _bad_request_error(
    message: str, status: int = 400, code: str = "bad-request"
) -> AcaciarillError:
    return BadRequestError(message, step=Step.PARSE, status=status, code=code)

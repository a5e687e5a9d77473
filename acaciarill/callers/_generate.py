"""Turn a caller's generation request into an engine's, and follow the answer's end."""

import hashlib
import re
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import orjson

from ..errors import BadRequestError, Step
from ..upstreams import UpstreamRequest
from ..upstreams.const import AFFINITY_PREFIX_CHARACTERS
from .const import DEFAULT_COST_TOKENS, MAX_COST_TOKENS, TAIL_BYTES

LIVE_PRIORITY = 10
LENT_PRIORITY = 5
"""For what runs beyond a customer's own share, so that it gives way within the engine too."""
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")


@dataclass(slots=True)
class GenerateRequest:
    """Hold what a caller asks of a model."""

    prompt: str
    max_tokens: int
    stream: bool


def request_id_for(callers_id: str) -> str:
    """Return an id of our own that shows the caller's, so that no caller can pick another's."""
    kept = callers_id if _REQUEST_ID.fullmatch(callers_id) else ""
    own_id = uuid4().hex[:16]
    return f"{kept}-{own_id}" if kept else own_id


def cache_salt(customer: str) -> str:
    """Return what keeps a customer's cached prefixes apart from those of its rivals."""
    return hashlib.blake2b(customer.encode(), digest_size=8).hexdigest()


def parse_generate(body: bytes) -> GenerateRequest:
    """Read a generation request; raise BadRequestError naming the wrong field."""
    try:
        parsed: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequestError("the body is not JSON", step=Step.PARSE, code="bad-json") from error
    if not isinstance(parsed, dict):
        raise BadRequestError("the body is not a JSON object", step=Step.PARSE)
    prompt = parsed.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadRequestError("prompt: expected a text", step=Step.PARSE)
    max_tokens = parsed.get("max_tokens", DEFAULT_COST_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_COST_TOKENS:
        message = f"max_tokens: expected a number from 1 to {MAX_COST_TOKENS}"
        raise BadRequestError(message, step=Step.PARSE)
    stream = parsed.get("stream", False)
    if type(stream) is not bool:
        raise BadRequestError("stream: expected true or false", step=Step.PARSE)
    return GenerateRequest(prompt, max_tokens, stream)


def engine_request(request: UpstreamRequest, body: bytes) -> GenerateRequest:
    """Rewrite a request for the engine's interface but its body; return what it asks."""
    if request.method != "POST":
        raise BadRequestError(
            "generation needs POST", step=Step.PARSE, status=405, code="wrong-method"
        )
    generate = parse_generate(body)
    request.path = "/generate"
    request.affinity = cache_salt(request.customer) + generate.prompt[:AFFINITY_PREFIX_CHARACTERS]
    request.headers = [(b"content-type", b"application/json")]
    return generate


def engine_body(generate: GenerateRequest, customer: str, lent: bool) -> bytes:
    """Return the body for the engine; `lent` tells that the place is beyond the own share."""
    return orjson.dumps(
        {
            "prompt": generate.prompt,
            "max_tokens": generate.max_tokens,
            "stream": generate.stream,
            "priority": LENT_PRIORITY if lent else LIVE_PRIORITY,
            "cache_salt": cache_salt(customer),
        }
    )


class StreamTail:
    """Keep the end of a stream, which holds the engine's closing line."""

    def __init__(self) -> None:
        self.whole = bytearray()

    def feed(self, chunk: bytes) -> None:
        """Take the next chunk."""
        self.whole += chunk
        newline = self.whole.rfind(b"\n", 0, len(self.whole) - 1)
        if newline >= 0 and len(self.whole) > TAIL_BYTES:
            del self.whole[: newline + 1]

    def closing_line(self) -> dict[str, Any]:
        """Return the last line as an object, or an empty one when it is not whole."""
        line = bytes(self.whole).rstrip(b"\n").rpartition(b"\n")[2]
        try:
            parsed = orjson.loads(line)
        except orjson.JSONDecodeError:
            return {}
        return parsed if isinstance(parsed, dict) else {}

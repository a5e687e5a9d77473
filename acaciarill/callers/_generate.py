"""Translate callers' generation requests for engines and read the final record of responses."""

import hashlib
import re
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import orjson

from ..errors import BadRequestError, Step
from ..upstreams import UpstreamRequest, generation_limit_bytes
from ..upstreams.const import AFFINITY_PREFIX_CHARACTERS
from .const import DEFAULT_COST_TOKENS, MAX_TOKENS_PER_REQUEST, TAIL_TRIM_THRESHOLD_BYTES

ONLINE_PRIORITY = 10
BORROWED_PRIORITY = 5
"""Lower for requests beyond the customer's share, so the engine prefers requests within it."""
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")


@dataclass(slots=True)
class GenerateRequest:
    """Hold a caller's validated generation request."""

    prompt: str
    max_tokens: int
    stream: bool


def request_id_for(caller_request_id: str) -> str:
    """Return a unique id that starts with the caller's, so that no caller can reuse another's."""
    prefix = caller_request_id if _REQUEST_ID.fullmatch(caller_request_id) else ""
    unique_id = uuid4().hex[:16]
    return f"{prefix}-{unique_id}" if prefix else unique_id


def cache_salt(customer: str) -> str:
    """Return the salt that keeps a customer's cached prefixes apart from other customers'."""
    return hashlib.blake2b(customer.encode(), digest_size=8).hexdigest()


def parse_generate(body: bytes) -> GenerateRequest:
    """Parse a generation request; raise BadRequestError that names the invalid field."""
    try:
        parsed: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequestError("the body is not JSON", step=Step.PARSE, code="bad-json") from error
    if not isinstance(parsed, dict):
        raise BadRequestError("the body is not a JSON object", step=Step.PARSE)
    prompt = parsed.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadRequestError("prompt: expected a non-empty string", step=Step.PARSE)
    max_tokens = parsed.get("max_tokens", DEFAULT_COST_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_PER_REQUEST:
        message = f"max_tokens: expected an integer from 1 to {MAX_TOKENS_PER_REQUEST}"
        raise BadRequestError(message, step=Step.PARSE)
    stream = parsed.get("stream", False)
    if type(stream) is not bool:
        raise BadRequestError("stream: expected true or false", step=Step.PARSE)
    return GenerateRequest(prompt, max_tokens, stream)


def prepare_engine_request(request: UpstreamRequest, body: bytes) -> GenerateRequest:
    """Rewrite a request, except its body, for the engine; return the parsed generation request."""
    if request.method != "POST":
        raise BadRequestError(
            "generation accepts only POST", step=Step.PARSE, status=405, code="wrong-method"
        )
    generate = parse_generate(body)
    request.path = "/generate"
    request.affinity = cache_salt(request.customer) + generate.prompt[:AFFINITY_PREFIX_CHARACTERS]
    request.headers = [(b"content-type", b"application/json")]
    request.max_response_bytes = generation_limit_bytes(generate.max_tokens)
    return generate


def engine_body(generate: GenerateRequest, customer: str, borrowed: bool) -> bytes:
    """Return the engine's request body; `borrowed` means beyond the customer's own share."""
    return orjson.dumps(
        {
            "prompt": generate.prompt,
            "max_tokens": generate.max_tokens,
            "stream": generate.stream,
            "priority": BORROWED_PRIORITY if borrowed else ONLINE_PRIORITY,
            "cache_salt": cache_salt(customer),
        }
    )


class StreamTail:
    """Keep the end of a stream, whose last line is the engine's final record."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, chunk: bytes) -> None:
        """Append a chunk."""
        self.buffer += chunk
        newline = self.buffer.rfind(b"\n", 0, len(self.buffer) - 1)
        if newline >= 0 and len(self.buffer) > TAIL_TRIM_THRESHOLD_BYTES:
            del self.buffer[: newline + 1]

    def final_record(self) -> dict[str, Any]:
        """Return the last line as an object, or an empty one if it is incomplete."""
        line = bytes(self.buffer).rstrip(b"\n").rpartition(b"\n")[2]
        try:
            parsed = orjson.loads(line)
        except orjson.JSONDecodeError:
            return {}
        return parsed if isinstance(parsed, dict) else {}

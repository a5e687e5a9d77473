"""Define the HTTP client of the weight store."""

from collections.abc import Callable
from typing import Any, TypeVar

import httpx
import orjson

from ..errors import AcaciarillError, Outcome, Step
from ..numerals import parse_natural
from ..untrusted_json import require_integer, require_string
from .const import CALL_TIMEOUT_S, FETCH_URL_RETRY_DELAY_S

CODE_RATE_LIMITED = "rate-limited"
T = TypeVar("T")


class WeightStoreClient:
    """Read the newest versions and request fetch URLs, which the weight store limits by rate.

    The error of a rate-limited call has the time to wait in `retry_after_s`.
    """

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self.base_url = base_url
        self.client = client

    async def newest_version(self, model: str) -> int:
        """Return the newest version of a model; raise AcaciarillError."""
        return await self._get(f"/models/{model}", "version", require_integer)

    async def request_fetch_url(self, model: str, version: int) -> str:
        """Return the URL from which one engine may fetch a version; raise AcaciarillError."""
        return await self._get(f"/models/{model}/{version}", "url", require_string)

    def _rate_limit_error(self, response: httpx.Response) -> AcaciarillError:
        text = response.headers.get("retry-after", "")
        return AcaciarillError(
            "the weight store rejected the call because of its rate limit",
            step=Step.ORDER,
            peer=self.base_url,
            outcome=Outcome.NOT_RUN,
            code=CODE_RATE_LIMITED,
            retry_after_s=FETCH_URL_RETRY_DELAY_S if (s := parse_natural(text)) is None else s,
        )

    async def _get(self, path: str, field: str, decode: Callable[[Any], T]) -> T:
        """Return one decoded field of a response; raise AcaciarillError."""
        try:
            response = await self.client.get(self.base_url + path, timeout=CALL_TIMEOUT_S)
            if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
                raise self._rate_limit_error(response)
            response.raise_for_status()
            return decode(orjson.loads(response.content)[field])
        except (httpx.HTTPError, KeyError, TypeError, ValueError) as error:
            raise AcaciarillError(
                "the weight store returned no valid response",
                step=Step.ORDER,
                peer=self.base_url,
                outcome=Outcome.NOT_RUN,
            ) from error

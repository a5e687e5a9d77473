"""Define the HTTP client of the weight store."""

import httpx
import orjson

from ..errors import AcaciarillError, Outcome, Step
from .const import CALL_TIMEOUT_S, FETCH_URL_RETRY_DELAY_S

CODE_RATE_LIMITED = "rate-limited"


class WeightStoreClient:
    """Read the newest versions and request fetch URLs, which the weight store limits by rate.

    The error of a rate-limited call has the time to wait in `retry_after_s`.
    """

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self.base_url = base_url
        self.client = client

    async def newest_version(self, model: str) -> int:
        """Return the newest version of a model; raise AcaciarillError."""
        return int((await self._get(f"/models/{model}"))["version"])

    async def request_fetch_url(self, model: str, version: int) -> str:
        """Return the URL from which one engine may fetch a version; raise AcaciarillError."""
        return str((await self._get(f"/models/{model}/{version}"))["url"])

    def _rate_limit_error(self, response: httpx.Response) -> AcaciarillError:
        text = response.headers.get("retry-after", "")
        return AcaciarillError(
            "the weight store rejected the call because of its rate limit",
            step=Step.ORDER,
            peer=self.base_url,
            outcome=Outcome.NOT_RUN,
            code=CODE_RATE_LIMITED,
            retry_after_s=float(text) if text.isdigit() else FETCH_URL_RETRY_DELAY_S,
        )

    async def _get(self, path: str) -> dict:
        try:
            response = await self.client.get(self.base_url + path, timeout=CALL_TIMEOUT_S)
            if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
                raise self._rate_limit_error(response)
            response.raise_for_status()
            return orjson.loads(response.content)
        except (httpx.HTTPError, ValueError) as error:
            raise AcaciarillError(
                "the weight store returned no valid response",
                step=Step.ORDER,
                peer=self.base_url,
                outcome=Outcome.NOT_RUN,
            ) from error

"""Define the HTTP client of the scoring services."""

import anyio
import httpx
import orjson

from ..errors import AcaciarillError, Step
from .const import BACKOFF_INITIAL_S, BACKOFF_MAX_S, CALL_TIMEOUT_S, MAX_ATTEMPTS


class ScorerClient:
    """Request scores, with retries: scoring a sample again is safe and gives the same score."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def score(self, address: str, sample_id: str, text: str) -> float:
        """Return the score of a sample; raise AcaciarillError after MAX_ATTEMPTS failures."""
        body = orjson.dumps({"sample_id": sample_id, "text": text})
        backoff_s = BACKOFF_INITIAL_S
        for _ in range(MAX_ATTEMPTS):
            try:
                response = await self.client.post(
                    f"http://{address}/score", content=body, timeout=CALL_TIMEOUT_S
                )
                response.raise_for_status()
                return float(orjson.loads(response.content)["score"])
            except (httpx.HTTPError, ValueError, KeyError, TypeError):
                await anyio.sleep(backoff_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
        raise AcaciarillError(
            "the scorer returned no score after several attempts", step=Step.SCORE, peer=address
        )

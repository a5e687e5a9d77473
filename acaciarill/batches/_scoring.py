"""Send the request that scores a finished text."""

from collections.abc import Awaitable, Callable

import anyio

from ..errors import AcaciarillError, Outcome
from ..fleet import ForwardedRequest, Route
from ._model import ScoreRequest
from ._runner_ports import ItemFailedError, RunnerPorts
from .const import SCORE_RETRY_DELAY_S, SCORE_TIMEOUT_S

FindRoute = Callable[[str, str, str], Awaitable[Route]]
"""Return the route of a request by the request's id, host and path."""


async def score_text(
    score: ScoreRequest,
    ports: RunnerPorts,
    find_route: FindRoute,
    check_queue_time: Callable[[], Awaitable[None]],
) -> str:
    """Score a finished text; return the stamp of the scorer's response or raise ItemFailedError."""
    errors = 0
    while True:
        route = await find_route(score.id, score.host, score.path)
        request = ForwardedRequest(
            score.id,
            "POST",
            score.path,
            [(b"Host", score.host.encode())],
            score.body,
            route,
            route.choose_service(ports.forwarder.rng.random()),
            "",
            ports.clock() + SCORE_TIMEOUT_S,
            metered=False,
            background=True,
        )
        try:
            http_response = await ports.forwarder.forward(request)
            server_stamp = ports.sender.codec.decode(http_response.head).server_stamp
            if http_response.head.status // 100 == 2 and server_stamp:
                return server_stamp
        except AcaciarillError as error:
            if error.outcome is Outcome.NOT_RUN and error.retry_after_s:
                await anyio.sleep(error.retry_after_s)
        errors += request.server_error_count
        if errors >= route.max_attempts:
            raise ItemFailedError("all allowed scoring attempts failed")
        await check_queue_time()
        await anyio.sleep(SCORE_RETRY_DELAY_S)

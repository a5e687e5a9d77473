"""Call a daemon's operators' endpoints from the command line."""

import ssl
import sys
from dataclasses import dataclass
from typing import Any, NoReturn

import click
import httpx
import orjson

from .const import CALL_TIMEOUT_S, EXIT_CONFLICT, EXIT_FAILED, EXIT_INVALID, EXIT_UNREACHABLE

_EXIT_CODES = {"conflict": EXIT_CONFLICT, "config-invalid": EXIT_INVALID}


@dataclass(slots=True)
class DaemonClient:
    """Hold where the daemon is and who asks."""

    url: str
    token: str
    authority: str = ""

    def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return the parsed answer, or end the command with a message and its exit code."""
        headers = {"authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            response = httpx.request(
                method,
                self.url + path,
                content=orjson.dumps(body) if body is not None else None,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
                trust_env=False,
                verify=ssl.create_default_context(cafile=self.authority or None),
            )
            answer = orjson.loads(response.content)
        except httpx.HTTPError as error:
            fail(f"the daemon at {self.url} cannot be reached: {error}", EXIT_UNREACHABLE)
        except orjson.JSONDecodeError:
            fail(f"{self.url} did not answer as a daemon does", EXIT_UNREACHABLE)
        if response.status_code >= httpx.codes.BAD_REQUEST:
            code = answer.get("code", "")
            lines = answer.get("faults") or [answer.get("message", "")]
            fail("\n".join(f"{code}: {line}" for line in lines), _EXIT_CODES.get(code, EXIT_FAILED))
        return answer


def fail(message: str, exit_code: int) -> NoReturn:
    """End the command with a message on standard error."""
    click.echo(message, err=True)
    sys.exit(exit_code)

"""Call the operator endpoints of a daemon from the command line."""

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
    """Call the operator endpoints of one daemon.

    `token` is sent as a bearer token unless empty. `authority` is a PEM file of the certificates to
    trust; without it, those of the system are trusted.
    """

    url: str
    token: str
    authority: str = ""

    def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return the parsed response; on an error, print it and exit with the code for it."""
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
            result = orjson.loads(response.content)
        except httpx.HTTPError as error:
            exit_with_error(
                f"the daemon at {self.url} cannot be reached (check --daemon): {error}",
                EXIT_UNREACHABLE,
            )
        except orjson.JSONDecodeError:
            exit_with_error(
                f"{self.url} did not respond with JSON; use the operator address of a daemon",
                EXIT_UNREACHABLE,
            )
        if response.status_code >= httpx.codes.BAD_REQUEST:
            code = result.get("code", "")
            lines = result.get("faults") or [result.get("message", "")]
            exit_with_error(
                "\n".join(f"{code}: {line}" for line in lines), _EXIT_CODES.get(code, EXIT_FAILED)
            )
        return result


def exit_with_error(message: str, exit_code: int) -> NoReturn:
    """Print a message to standard error and exit."""
    click.echo(message, err=True)
    sys.exit(exit_code)

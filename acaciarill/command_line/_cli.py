"""Define the commands of the command line."""

import difflib
import sys
import time
from pathlib import Path
from typing import Any

import anyio
import click
import orjson
import tomli_w
from eliot import to_file
from returns.result import Failure

from ..errors import ConfigError
from ..settings import load_settings
from ._client import DaemonClient, exit_with_error
from .const import (
    APPLY_WAIT_TIMEOUT_S,
    COVERAGE_POLL_PERIOD_S,
    DEFAULT_DAEMON_URL,
    ENV_AUTHORITY,
    ENV_DAEMON,
    ENV_TOKEN,
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
)

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
JSON_OPTION = click.option(
    "--json", "as_json", is_flag=True, help="Print the result as one JSON object."
)


@click.group()
@click.option(
    "--daemon",
    "url",
    envvar=ENV_DAEMON,
    default=DEFAULT_DAEMON_URL,
    show_default=True,
    help="URL of the operator endpoints of any daemon.",
)
@click.option("--token", envvar=ENV_TOKEN, default="", help="Operator token, OWNER.SECRET.")
@click.option(
    "--authority",
    envvar=ENV_AUTHORITY,
    default="",
    help="PEM file of the certificate authority to trust for TLS.",
)
@click.pass_context
def main(context: click.Context, url: str, token: str, authority: str) -> None:
    """Run and operate acaciarill.

    Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid configuration, 4 conflict,
    5 daemon unreachable, 6 not yet in force everywhere.

    Example: acaciarill --daemon http://127.0.0.1:8081 status
    """
    context.obj = DaemonClient(url.rstrip("/"), token, authority)


@main.command()
@click.argument("settings", type=EXISTING_FILE)
def serve(settings: Path) -> None:
    """Run a daemon with the settings in a TOML file until SIGTERM.

    Example: acaciarill serve /etc/acaciarill/h1.toml
    """
    from ..daemon import run_daemon

    try:
        checked_settings = load_settings(settings)
    except ConfigError as error:
        exit_with_error("\n".join(map(str, error.faults)), EXIT_INVALID)
    to_file(sys.stderr)
    anyio.run(run_daemon, checked_settings)


@main.command()
@click.option(
    "--config", type=EXISTING_FILE, help="Configuration document to use instead of the sample."
)
@click.option(
    "--base-port", default=18000, show_default=True, help="First port of the range to listen on."
)
def dev(config: Path | None, base_port: int) -> None:
    """Run a daemon with stand-ins for all platform services and upstreams in one process.

    Example: acaciarill dev
    """
    from ..dev import run_dev

    to_file(sys.stderr)
    try:
        anyio.run(run_dev, config, base_port)
    except ConfigError as error:
        exit_with_error("\n".join(map(str, error.faults)), EXIT_INVALID)


@main.group()
def config() -> None:
    """Check, change and show the shared configuration.

    Example: acaciarill config check config.toml
    """


@config.command("check")
@click.argument("files", type=EXISTING_FILE, nargs=-1, required=True)
@JSON_OPTION
def config_check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check configuration files without a daemon and report all faults.

    Example: acaciarill config check first.toml second.toml
    """
    from ..config import check_document

    faults: list[str] = []
    for file in files:
        result = check_document(file.read_text(), str(file))
        if isinstance(result, Failure):
            faults += map(str, result.failure())
    if as_json:
        click.echo(orjson.dumps({"valid": not faults, "faults": faults}))
        sys.exit(EXIT_INVALID if faults else 0)
    if faults:
        exit_with_error("\n".join(faults), EXIT_INVALID)
    click.echo("valid")


@config.command("apply")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--based-on",
    type=EXISTING_FILE,
    help="Saved output of `config show --json` that FILE was edited from.",
)
@click.option(
    "--wait", is_flag=True, help="Wait until the revision is in force on all listed daemons."
)
@JSON_OPTION
@click.pass_obj
def config_apply(
    client: DaemonClient, file: Path, based_on: Path | None, wait: bool, as_json: bool
) -> None:
    """Replace the sections that a configuration file contains.

    Example: acaciarill config apply config.toml --wait
    """
    from ..config import check_document, parse_document

    result = check_document(file.read_text(), str(file))
    if isinstance(result, Failure):
        exit_with_error("\n".join(map(str, result.failure())), EXIT_INVALID)
    body: dict[str, Any] = {"sections": parse_document(file.read_text(), str(file)).unwrap()}
    if based_on is not None:
        body["based_on"] = orjson.loads(based_on.read_bytes())["digests"]
    accepted = client.call("POST", "/config/apply", body)
    coverage = _wait_until_in_force(client, accepted["revision"]) if wait else {}
    _print_result(accepted | coverage, as_json, "revision {revision} accepted".format(**accepted))
    if coverage.get("behind"):
        exit_with_error("not yet in force on: " + ", ".join(coverage["behind"]), EXIT_NOT_IN_FORCE)


def _wait_until_in_force(client: DaemonClient, revision: int) -> dict[str, Any]:
    deadline = time.monotonic() + APPLY_WAIT_TIMEOUT_S
    while True:
        coverage = client.call("GET", f"/config/coverage?revision={revision}")
        if not coverage["behind"] or time.monotonic() >= deadline:
            return coverage
        time.sleep(COVERAGE_POLL_PERIOD_S)


@config.command("show")
@JSON_OPTION
@click.pass_obj
def config_show(client: DaemonClient, as_json: bool) -> None:
    """Show the accepted sections that the token has access to, as TOML.

    Example: acaciarill config show > edited.toml
    """
    response = client.call("GET", "/config")
    _print_result(response, as_json, tomli_w.dumps(response["sections"]))


@config.command("history")
@JSON_OPTION
@click.pass_obj
def config_history(client: DaemonClient, as_json: bool) -> None:
    """List the recent accepted changes, oldest first.

    Example: acaciarill config history
    """
    response = client.call("GET", "/config/history")
    lines = [
        f"{c['revision']:>6}  {time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(c['at']))}  "
        f"{','.join(c['owners'])}  by {c['by']}"
        for c in response["changes"]
    ]
    _print_result(response, as_json, "\n".join(lines))


@config.command("diff")
@click.argument("old", type=int)
@click.argument("new", type=int)
@click.pass_obj
def config_diff(client: DaemonClient, old: int, new: int) -> None:
    """Show the differences between two recent revisions, as a unified diff.

    Example: acaciarill config diff 3 4
    """
    texts = [
        tomli_w.dumps(client.call("GET", f"/config/revision/{revision}")["sections"])
        for revision in (old, new)
    ]
    lines = difflib.unified_diff(
        texts[0].splitlines(), texts[1].splitlines(), str(old), str(new), lineterm=""
    )
    click.echo("\n".join(lines))


@main.group()
def key() -> None:
    """Grant, withdraw and list callers' keys.

    Example: acaciarill key grant audit-office
    """


@key.command("grant")
@click.argument("customer")
@JSON_OPTION
@click.pass_obj
def key_grant(client: DaemonClient, customer: str, as_json: bool) -> None:
    """Grant a new key and print it; it cannot be shown again, as only its digest is stored.

    Example: acaciarill key grant audit-office
    """
    response = client.call("POST", "/keys/grant", {"customer": customer})
    _print_result(response, as_json, response["key"])


@key.command("withdraw")
@click.argument("key_id")
@JSON_OPTION
@click.pass_obj
def key_withdraw(client: DaemonClient, key_id: str, as_json: bool) -> None:
    """Withdraw a key permanently and report whether that is in force everywhere.

    Example: acaciarill key withdraw audit-office-1a2b3c4d
    """
    response = client.call("POST", "/keys/withdraw", {"id": key_id})
    in_force_text = "in force everywhere" if response["in_force"] else "NOT yet in force everywhere"
    stored_text = (
        "in the store"
        if response["stored"]
        else "not yet in the store; the daemons keep it and write it when the store is reachable"
    )
    _print_result(response, as_json, f"{key_id}: {in_force_text}; {stored_text}")
    if not response["in_force"]:
        exit_with_error(
            "not yet confirmed by: " + ", ".join(response["unconfirmed"]), EXIT_NOT_IN_FORCE
        )


@key.command("list")
@JSON_OPTION
@click.pass_obj
def key_list(client: DaemonClient, as_json: bool) -> None:
    """List the granted keys by id, with their customers.

    Example: acaciarill key list --json
    """
    response = client.call("GET", "/keys")
    lines = [
        f"{entry['id']}  {entry['customer']}{'  withdrawn' if entry['withdrawn'] else ''}"
        for entry in response["keys"]
    ]
    _print_result(response, as_json, "\n".join(lines))


@main.command("fleet-status")
@JSON_OPTION
@click.pass_obj
def fleet_status(client: DaemonClient, as_json: bool) -> None:
    """Show the state of one daemon of a shared fleet; --daemon is its metrics address.

    Example: acaciarill --daemon http://10.1.0.14:9464 fleet-status --json
    """
    response = client.call("GET", "/v1/status")
    _print_result(
        response, as_json, "\n".join(f"{name}: {value}" for name, value in response.items())
    )


@main.command("fleet-release")
@click.argument("request_key")
@JSON_OPTION
@click.pass_obj
def fleet_release(client: DaemonClient, request_key: str, as_json: bool) -> None:
    """Let a quarantined request run again at all daemons; fleet-status lists their keys.

    Example: acaciarill --daemon http://10.1.0.14:9464 fleet-release 5f0a92c4d1b7e683
    """
    response = client.call("POST", f"/v1/release/{request_key}")
    text = "released" if response["released"] else "no request with this key is quarantined"
    _print_result(response, as_json, text)


@main.command()
@JSON_OPTION
@click.pass_obj
def status(client: DaemonClient, as_json: bool) -> None:
    """Show the state of a daemon.

    Example: acaciarill status --json
    """
    response = client.call("GET", "/status")
    _print_result(
        response, as_json, "\n".join(f"{name}: {value}" for name, value in response.items())
    )


@main.command()
@JSON_OPTION
@click.pass_obj
def upstreams(client: DaemonClient, as_json: bool) -> None:
    """Show the state of the upstreams as the daemon sees it.

    Example: acaciarill upstreams
    """
    response = client.call("GET", "/upstreams")
    lines = [
        f"{u['name']:<24} {u['serves']:<16} {u['data_centre']:<12} load {u['load']:<6} "
        f"{'leaving' if u['leaving'] else 'usable' if u['usable'] else 'ejected'}"
        for u in response["upstreams"]
    ]
    _print_result(response, as_json, "\n".join(lines))


def _print_result(response: dict[str, Any], as_json: bool, text: str) -> None:
    click.echo(orjson.dumps(response) if as_json else text)

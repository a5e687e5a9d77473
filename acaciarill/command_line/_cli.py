"""Define the operators' command line."""

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
from ._client import DaemonClient, fail
from .const import (
    APPLY_WAIT_S,
    CONFIRM_PERIOD_S,
    DEFAULT_DAEMON_URL,
    ENV_AUTHORITY,
    ENV_DAEMON,
    ENV_TOKEN,
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
)

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


@click.group()
@click.option(
    "--daemon",
    "url",
    envvar=ENV_DAEMON,
    default=DEFAULT_DAEMON_URL,
    show_default=True,
    help="Operators' address of any daemon.",
)
@click.option("--token", envvar=ENV_TOKEN, default="", help="Operator's token, OWNER.SECRET.")
@click.option(
    "--authority", envvar=ENV_AUTHORITY, default="", help="File of the authority to trust by TLS."
)
@click.pass_context
def main(context: click.Context, url: str, token: str, authority: str) -> None:
    """Run and operate acaciarill.

    Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid configuration, 4 conflict,
    5 the daemon cannot be reached, 6 not yet in force everywhere.

    Example: acaciarill --daemon http://127.0.0.1:8081 status
    """
    context.obj = DaemonClient(url.rstrip("/"), token, authority)


@main.command()
@click.argument("settings", type=FILE)
def serve(settings: Path) -> None:
    """Run one daemon until SIGTERM.

    Example: acaciarill serve /etc/acaciarill/h1.toml
    """
    from ..daemon import run_daemon

    try:
        checked = load_settings(settings)
    except ConfigError as error:
        fail("\n".join(map(str, error.faults)), EXIT_INVALID)
    to_file(sys.stderr)
    anyio.run(run_daemon, checked)


@main.command()
@click.option("--config", type=FILE, help="Configuration to run instead of the sample.")
@click.option("--base-port", default=18000, show_default=True, help="First of the ports used.")
def dev(config: Path | None, base_port: int) -> None:
    """Run a daemon and stand-ins for the whole platform in one process.

    Example: acaciarill dev
    """
    from ..dev import run_dev

    to_file(sys.stderr)
    try:
        anyio.run(run_dev, config, base_port)
    except ConfigError as error:
        fail("\n".join(map(str, error.faults)), EXIT_INVALID)


@main.group()
def config() -> None:
    """Check, change and show the shared configuration.

    Example: acaciarill config check examples/almaty.toml
    """


@config.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
@JSON
def config_check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check files without a daemon and name every fault.

    Example: acaciarill config check examples/almaty.toml examples/cwmdu.toml
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
        fail("\n".join(faults), EXIT_INVALID)
    click.echo("valid")


@config.command("apply")
@click.argument("file", type=FILE)
@click.option("--based-on", type=FILE, help="Output of `config show --json` that was edited.")
@click.option("--wait", is_flag=True, help="Wait until it is in force on every listed daemon.")
@JSON
@click.pass_obj
def config_apply(
    client: DaemonClient, file: Path, based_on: Path | None, wait: bool, as_json: bool
) -> None:
    """Replace the sections that a file holds.

    Example: acaciarill config apply examples/almaty.toml --wait
    """
    from ..config import check_document, parse_document

    checked = check_document(file.read_text(), str(file))
    if isinstance(checked, Failure):
        fail("\n".join(map(str, checked.failure())), EXIT_INVALID)
    body: dict[str, Any] = {"sections": parse_document(file.read_text(), str(file)).unwrap()}
    if based_on is not None:
        body["based_on"] = orjson.loads(based_on.read_bytes())["digests"]
    accepted = client.call("POST", "/config/apply", body)
    coverage = _wait_in_force(client, accepted["revision"]) if wait else {}
    _show(accepted | coverage, as_json, "revision {revision} accepted".format(**accepted))
    if coverage.get("behind"):
        fail("not yet in force on: " + ", ".join(coverage["behind"]), EXIT_NOT_IN_FORCE)


def _wait_in_force(client: DaemonClient, revision: int) -> dict[str, Any]:
    end = time.monotonic() + APPLY_WAIT_S
    while True:
        coverage = client.call("GET", f"/config/coverage?revision={revision}")
        if not coverage["behind"] or time.monotonic() >= end:
            return coverage
        time.sleep(CONFIRM_PERIOD_S)


@config.command("show")
@JSON
@click.pass_obj
def config_show(client: DaemonClient, as_json: bool) -> None:
    """Show the accepted sections that the token may see, as TOML.

    Example: acaciarill config show > edited.toml
    """
    answer = client.call("GET", "/config")
    _show(answer, as_json, tomli_w.dumps(answer["sections"]))


@config.command("history")
@JSON
@click.pass_obj
def config_history(client: DaemonClient, as_json: bool) -> None:
    """List the latest accepted changes.

    Example: acaciarill config history
    """
    answer = client.call("GET", "/config/history")
    lines = [
        f"{c['revision']:>6}  {time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(c['at']))}  "
        f"{','.join(c['owners'])}  by {c['by']}"
        for c in answer["changes"]
    ]
    _show(answer, as_json, "\n".join(lines))


@config.command("diff")
@click.argument("old", type=int)
@click.argument("new", type=int)
@click.pass_obj
def config_diff(client: DaemonClient, old: int, new: int) -> None:
    """Show what changed between two recent revisions.

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
@JSON
@click.pass_obj
def key_grant(client: DaemonClient, customer: str, as_json: bool) -> None:
    """Grant a new key and print it once; only its digest is kept.

    Example: acaciarill key grant audit-office
    """
    answer = client.call("POST", "/keys/grant", {"customer": customer})
    _show(answer, as_json, answer["key"])


@key.command("withdraw")
@click.argument("key_id")
@JSON
@click.pass_obj
def key_withdraw(client: DaemonClient, key_id: str, as_json: bool) -> None:
    """Withdraw a key for good and say where that is in force.

    Example: acaciarill key withdraw audit-office-1a2b3c4d
    """
    answer = client.call("POST", "/keys/withdraw", {"id": key_id})
    where = "in force everywhere" if answer["in_force"] else "NOT yet in force everywhere"
    kept = "in the store" if answer["stored"] else "not yet in the store: daemons keep it"
    _show(answer, as_json, f"{key_id}: {where}; {kept}")
    if not answer["in_force"]:
        fail("unconfirmed: " + ", ".join(answer["unconfirmed"]), EXIT_NOT_IN_FORCE)


@key.command("list")
@JSON
@click.pass_obj
def key_list(client: DaemonClient, as_json: bool) -> None:
    """List granted keys by id.

    Example: acaciarill key list --json
    """
    answer = client.call("GET", "/keys")
    lines = [
        f"{entry['id']}  {entry['customer']}{'  withdrawn' if entry['withdrawn'] else ''}"
        for entry in answer["keys"]
    ]
    _show(answer, as_json, "\n".join(lines))


@main.command("fleet-status")
@JSON
@click.pass_obj
def fleet_status(client: DaemonClient, as_json: bool) -> None:
    """Show the state of one daemon of a shared fleet, by its metrics address.

    Example: acaciarill --daemon http://10.1.0.14:9464 fleet-status --json
    """
    answer = client.call("GET", "/v1/status")
    _show(answer, as_json, "\n".join(f"{name}: {value}" for name, value in answer.items()))


@main.command()
@JSON
@click.pass_obj
def status(client: DaemonClient, as_json: bool) -> None:
    """Show one daemon's state.

    Example: acaciarill status --json
    """
    answer = client.call("GET", "/status")
    _show(answer, as_json, "\n".join(f"{name}: {value}" for name, value in answer.items()))


@main.command()
@JSON
@click.pass_obj
def upstreams(client: DaemonClient, as_json: bool) -> None:
    """Show the upstreams as this daemon sees them.

    Example: acaciarill upstreams
    """
    answer = client.call("GET", "/upstreams")
    lines = [
        f"{u['name']:<24} {u['serves']:<16} {u['data_centre']:<12} load {u['load']:<6} "
        f"{'leaving' if u['leaving'] else 'usable' if u['usable'] else 'ejected'}"
        for u in answer["upstreams"]
    ]
    _show(answer, as_json, "\n".join(lines))


def _show(answer: dict[str, Any], as_json: bool, text: str) -> None:
    click.echo(orjson.dumps(answer) if as_json else text)

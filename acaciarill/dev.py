"""Run one daemon and stand-ins for all external systems in one process, for development."""

import signal
import tempfile
from importlib import resources
from pathlib import Path

import anyio
import click

from .addresses import check_addresses_free
from .config import Document, Route
from .config.const import ACCESS_OPEN
from .daemon import Daemon
from .ports import build_ports
from .settings import Settings
from .stand_ins.everything import EntryHost, StandInEnvironment, load_document, platform_urls

CALLERS_PORT_OFFSET = 80
OPERATORS_PORT_OFFSET = 81
DAEMONS_PORT_OFFSET = 82
SAMPLE_SECRET = "sample-secret"
"""Secret part of every API key in the sample and example configurations."""


def read_sample_config() -> str:
    """Return the text of the sample configuration that is installed with the package."""
    return resources.files("acaciarill").joinpath("samples/dev.toml").read_text()


async def run_dev(config: Path | None, base_port: int) -> None:
    """Serve until SIGTERM or SIGINT; raise ConfigError for an invalid configuration."""
    if config is None:
        document = load_document(read_sample_config(), "sample")
    else:
        document = load_document(config.read_text(), str(config))
    data_centre = next(iter(document.upstreams.values())).data_centre
    settings = Settings(
        host="dev-1",
        data_centre=data_centre,
        callers=f"127.0.0.1:{base_port + CALLERS_PORT_OFFSET}",
        operators=f"127.0.0.1:{base_port + OPERATORS_PORT_OFFSET}",
        daemons=f"127.0.0.1:{base_port + DAEMONS_PORT_OFFSET}",
        trace_ratio=1.0,
        **platform_urls(base_port),
    )
    folder = Path(tempfile.mkdtemp(prefix="acaciarill-dev-"))
    entry = EntryHost(settings.host, data_centre, settings.daemons)
    stand_in_servers = StandInEnvironment(document, base_port, folder, [entry])
    daemon_addresses = (settings.callers, settings.operators, settings.daemons)
    check_addresses_free(
        "dev", [*daemon_addresses, *(address for _, address in stand_in_servers.endpoints)]
    )
    stand_in_servers.accept_configuration()
    stop, stop_stand_ins = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as stand_ins:
        stand_ins.start_soon(stand_in_servers.run, stop_stand_ins)
        async with anyio.create_task_group() as task_group:
            daemon = Daemon(settings, build_ports(settings), task_group)
            await task_group.start(daemon.run, stop)
            _print_hints(document, settings, folder)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            stop.set()
            await daemon.stopped.wait()
            task_group.cancel_scope.cancel()
        stop_stand_ins.set()


def _print_hints(document: Document, settings: Settings, folder: Path) -> None:
    base = f"http://{settings.callers}"
    click.echo(f"acaciarill is ready; the stand-ins write their event records to {folder}")
    click.echo("Try:")
    for route in sorted(document.routes, key=lambda route: route.path):
        click.echo("  " + _curl_command(document, base, route))
    key = next(iter(document.keys.values()), None)
    model = next(iter(document.models.values()), None)
    if key is not None and model is not None:
        step = '{"model": "%s", "groups": [{"prompt": "Mark odd entries", "samples": 4}]}'
        click.echo(
            f"  curl -s {base}/v1/steps/trainer-1/step-1 "
            f"-H 'Authorization: Bearer {key.id}.{SAMPLE_SECRET}' -d '{step % model.name}'"
        )
    click.echo(f"  ACACIARILL_DAEMON=http://{settings.operators} acaciarill status")


def _curl_command(document: Document, base: str, route: Route) -> str:
    parts = ["curl", "-s", base + route.path]
    if route.access != ACCESS_OPEN:
        owner_keys = (
            key
            for key in document.keys.values()
            if document.customers[key.customer].owner == route.owner
        )
        key = next(owner_keys, None)
        if key is not None:
            parts.append(f"-H 'Authorization: Bearer {key.id}.{SAMPLE_SECRET}'")
    if route.target in document.models:
        parts.append("""-d '{"prompt": "Hello", "max_tokens": 16, "stream": true}'""")
    return " ".join(parts)

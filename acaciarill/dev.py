"""Run one daemon with stand-ins for the whole platform in one process."""

import signal
import tempfile
from importlib import resources
from pathlib import Path

import anyio
import click

from .addresses import check_free
from .config import Document, Route
from .config.const import ACCESS_OPEN
from .daemon import Daemon
from .ports import build_ports
from .settings import Settings
from .stand_ins.everything import EntryHost, StandInEnvironment, load_document, platform_urls

CALLERS_OFFSET = 80
OPERATORS_OFFSET = 81
DAEMONS_OFFSET = 82
SAMPLE_SECRET = "sample-secret"
"""Secret of the keys in the sample and example configurations."""


def sample_text() -> str:
    """Return the sample configuration that ships with the package."""
    return resources.files("acaciarill").joinpath("samples/dev.toml").read_text()


async def run_dev(config: Path | None, base_port: int) -> None:
    """Serve until SIGTERM or SIGINT; raise ConfigError for a faulty configuration."""
    if config is None:
        document = load_document(sample_text(), "sample")
    else:
        document = load_document(config.read_text(), str(config))
    data_centre = next(iter(document.upstreams.values())).data_centre
    settings = Settings(
        host="dev-1",
        data_centre=data_centre,
        callers=f"127.0.0.1:{base_port + CALLERS_OFFSET}",
        operators=f"127.0.0.1:{base_port + OPERATORS_OFFSET}",
        daemons=f"127.0.0.1:{base_port + DAEMONS_OFFSET}",
        trace_ratio=1.0,
        **platform_urls(base_port),
    )
    folder = Path(tempfile.mkdtemp(prefix="acaciarill-dev-"))
    entry = EntryHost(settings.host, data_centre, settings.daemons)
    everything = StandInEnvironment(document, base_port, folder, [entry])
    own = (settings.callers, settings.operators, settings.daemons)
    check_free("dev", [*own, *(address for _, address in everything.endpoints)])
    everything.accept_configuration()
    stop, stop_stand_ins = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as stand_ins:
        stand_ins.start_soon(everything.run, stop_stand_ins)
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
    click.echo(f"acaciarill is ready; the stand-ins record what they see in {folder}")
    click.echo("Try:")
    for route in sorted(document.routes, key=lambda route: route.path):
        click.echo("  " + _curl(document, base, route))
    key = next(iter(document.keys.values()), None)
    model = next(iter(document.models.values()), None)
    if key is not None and model is not None:
        step = '{"model": "%s", "groups": [{"prompt": "Mark odd entries", "samples": 4}]}'
        click.echo(
            f"  curl -s {base}/v1/steps/trainer-1/step-1 "
            f"-H 'Authorization: Bearer {key.id}.{SAMPLE_SECRET}' -d '{step % model.name}'"
        )
    click.echo(f"  ACACIARILL_DAEMON=http://{settings.operators} acaciarill status")


def _curl(document: Document, base: str, route: Route) -> str:
    parts = ["curl", "-s", base + route.path]
    if route.access != ACCESS_OPEN:
        owned = (
            key
            for key in document.keys.values()
            if document.customers[key.customer].owner == route.owner
        )
        key = next(owned, None)
        if key is not None:
            parts.append(f"-H 'Authorization: Bearer {key.id}.{SAMPLE_SECRET}'")
    if route.target in document.models:
        parts.append("""-d '{"prompt": "Hello", "max_tokens": 16, "stream": true}'""")
    return " ".join(parts)

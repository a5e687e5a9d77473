"""Run one fleet daemon with the ports to the platform, and reload its settings file."""

import signal
import sys
from pathlib import Path

import anyio
from eliot import log_message

from ..errors import ConfigError
from ..fleet import ROLE_FRONT
from ..fleet_daemon import ROLE_KEEPER, FleetDaemon, FleetKinds, FleetPorts, FleetSettings
from ..logs import add_log_output
from ..mirrors import Record
from ._decode import (
    EventReader,
    decode_configuration,
    decode_published_version,
    decode_submission,
    decode_upstream,
)
from ._duties import DutyClient
from ._headers import UPSTREAM_CODEC
from ._request_handler import RequestHandler
from ._settings import PlatformSettings, load_settings, settings_path
from ._store import PlatformStore
from .const import (
    KIND_CONFIG,
    KIND_PUBLISHED_VERSIONS,
    KIND_RETIREMENTS,
    KIND_UPSTREAMS,
    RETIREMENT_STATE_COMPLETED,
)

STDOUT_FD = 1
EXIT_INVALID_SETTINGS = 2
DUTY_ARRIVAL_MARGIN_S = 0.3
"""How much longer one call of a duty may be on its way than the next; receivers note arrivals."""
SETTINGS_POLL_PERIOD_S = 2.0
"""Period of checking the settings file. Only its seeds may change, and they are only hints: a
daemon uses them while it knows no other one."""


def build_ports(settings: PlatformSettings) -> FleetPorts:
    """Return the ports that adapt a fleet daemon to the platform."""

    def request_handler(daemon: FleetDaemon) -> RequestHandler:
        return RequestHandler(
            lambda: daemon.configuration,
            daemon.forwarder,
            daemon.stream_versions,
            daemon.mirrors.confirm_upstreams,
            daemon.batch_manager,
            daemon.clock,
            daemon.metrics.observe_request,
            lambda: daemon.drain_deadline,
        )

    def duty_client(daemon: FleetDaemon) -> DutyClient:
        return DutyClient(settings.host, settings.duty_api, daemon.pool, daemon.holds_duty)

    def is_retirement_completed(record: Record) -> bool:
        return (record.status or {}).get("state") == RETIREMENT_STATE_COMPLETED

    return FleetPorts(
        kinds=FleetKinds(KIND_CONFIG, KIND_UPSTREAMS, KIND_PUBLISHED_VERSIONS, KIND_RETIREMENTS),
        store=PlatformStore,
        codec=UPSTREAM_CODEC,
        decode_configuration=decode_configuration,
        decode_upstream=decode_upstream,
        decode_version=decode_published_version,
        decode_submission=decode_submission,
        event_reader=EventReader,
        request_handler=request_handler,
        duty_calls=duty_client,
        is_retirement_completed=is_retirement_completed,
        completed_retirement_status={"state": RETIREMENT_STATE_COMPLETED},
    )


def build_fleet_settings(settings: PlatformSettings) -> FleetSettings:
    """Return the daemon's settings that the platform's settings file implies."""
    return FleetSettings(
        host=settings.host,
        data_centre=settings.data_centre,
        role=ROLE_FRONT if settings.serves_clients else ROLE_KEEPER,
        callers=settings.callers,
        readiness=settings.readiness,
        peers=settings.peers,
        seeds=settings.seeds,
        store=settings.store,
        drain_s=settings.drain_s,
        usage_window_s=settings.usage_window_s,
        metrics_address=settings.metrics_address,
        max_object_bytes=settings.max_object_bytes,
        memory_bytes=settings.memory_bytes,
        batch_retention_s=settings.batch_retention_s,
        connection_limits=settings.connection_limits,
        max_stream_records=settings.max_stream_records,
        duty_return_delay_s=settings.duty_turn_s + DUTY_ARRIVAL_MARGIN_S,
    )


async def reload_changed_settings(daemon: FleetDaemon, path: Path) -> None:
    """Poll the settings file and apply changed seeds; a reload needs no signal."""
    last_content = path.read_bytes()
    while True:
        await anyio.sleep(SETTINGS_POLL_PERIOD_S)
        try:
            content = path.read_bytes()
            if content == last_content:
                continue
            last_content = content
            settings = load_settings(path)
        except (OSError, ConfigError) as error:
            log_message(message_type="daemon:reload_failed", reason=str(error))
            continue
        daemon.peers.seeds = settings.seeds
        log_message(message_type="daemon:reloaded", seeds=settings.seeds)


async def run_process(settings: PlatformSettings) -> None:
    """Run the daemon until SIGTERM or SIGINT; SIGHUP is only logged."""
    stop = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for signal_number in signals:
                log_message(message_type="daemon:signal", signal=int(signal_number))
                if signal_number != signal.SIGHUP:
                    stop.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(watch_signals)
        daemon = FleetDaemon(build_fleet_settings(settings), build_ports(settings), task_group)
        task_group.start_soon(reload_changed_settings, daemon, settings_path())
        await daemon.run(stop)
        task_group.cancel_scope.cancel()


def main() -> None:
    """Read the settings file and run one process; exit with status 2 if it is invalid."""
    add_log_output(STDOUT_FD)
    try:
        settings = load_settings(settings_path())
    except ConfigError as error:
        log_message(message_type="daemon:bad_settings", reason=str(error))
        sys.exit(EXIT_INVALID_SETTINGS)
    anyio.run(run_process, settings)

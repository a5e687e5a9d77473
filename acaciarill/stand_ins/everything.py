"""Run stand-ins for all platform interfaces and for the upstreams of a configuration."""

import signal
from dataclasses import dataclass
from pathlib import Path

import anyio
import click
from returns.result import Failure

from ..config import ConfigHead, Document, check_document, section_bytes, section_digest
from ..config.const import HEAD_KEY, KIND_ENGINE, SECTION_PREFIX
from ..errors import ConfigError
from ..host_list.const import ROLE_ENTRY, ROLE_UPSTREAM, STATE_LIVE
from ._base import StandIn
from .capacity import CapacityStandIn
from .engine import EngineStandIn
from .host_list import HostListStandIn
from .object_api import ObjectApiStandIn
from .plain_service import PlainServiceStandIn
from .scorer import ScorerStandIn
from .usage import UsageStandIn
from .weight_store import WeightStoreStandIn

PLATFORM_INTERFACES = ("object_api", "host_list", "capacity", "usage", "weight_store")
"""Names of the interfaces in the order of their ports, the first of which is the base port."""


@dataclass(slots=True)
class EntryHost:
    """Describe the daemon of an entry host for the host list."""

    name: str
    data_centre: str
    address: str


def platform_urls(base_port: int) -> dict[str, str]:
    """Return the base URL of each platform interface by its name."""
    return {
        name: f"http://127.0.0.1:{base_port + offset}"
        for offset, name in enumerate(PLATFORM_INTERFACES)
    }


class StandInEnvironment:
    """Hold one stand-in for each platform interface, upstream and scorer, with its address."""

    def __init__(
        self,
        document: Document,
        base_port: int,
        records_folder: Path | None,
        entries: list[EntryHost],
        excluded_upstreams: tuple[str, ...] = (),
    ) -> None:
        self.document = document
        self.excluded_upstreams = excluded_upstreams
        self.records_folder = records_folder
        self.object_api = ObjectApiStandIn(self._record_path("object-api"))
        self.host_list = HostListStandIn(self._record_path("host-list"))
        platform_stand_ins = (
            self.object_api,
            self.host_list,
            CapacityStandIn(self._record_path("capacity")),
            UsageStandIn(self._record_path("usage")),
            WeightStoreStandIn(self._record_path("weight-store")),
        )
        self.endpoints: list[tuple[StandIn, str]] = [
            (stand_in, f"127.0.0.1:{base_port + offset}")
            for offset, stand_in in enumerate(platform_stand_ins)
        ]
        self._add_upstreams()
        self._add_hosts(entries)

    def _record_path(self, name: str) -> Path | None:
        return self.records_folder / f"{name}.jsonl" if self.records_folder else None

    def _add_upstreams(self) -> None:
        for upstream in self.document.upstreams.values():
            if upstream.name in self.excluded_upstreams:
                continue
            record = self._record_path(upstream.name)
            stand_in: StandIn
            if upstream.kind == KIND_ENGINE:
                stand_in = EngineStandIn(record, upstream.checks_fencing)
            else:
                stand_in = PlainServiceStandIn(record)
            self.endpoints.append((stand_in, upstream.address))
        scorers = {model.scorer for model in self.document.models.values() if model.scorer}
        for number, address in enumerate(sorted(scorers)):
            self.endpoints.append((ScorerStandIn(self._record_path(f"scorer-{number}")), address))

    def _add_hosts(self, entries: list[EntryHost]) -> None:
        for entry in entries:
            self.host_list.set_entry(
                _host_entry(entry.name, ROLE_ENTRY, entry.data_centre, entry.address)
            )
        for upstream in self.document.upstreams.values():
            address = upstream.address
            self.host_list.set_entry(
                _host_entry(upstream.name, ROLE_UPSTREAM, upstream.data_centre, address)
            )

    def accept_configuration(self) -> None:
        """Store the configuration in the Object API as the accepted first revision."""
        digests = {}
        for owner, raw in self.document.raw_sections.items():
            digests[owner] = section_digest(raw)
            self.object_api.store(SECTION_PREFIX + digests[owner], section_bytes(raw))
        head = ConfigHead().with_change("initial", "platform", digests)
        self.object_api.store(HEAD_KEY, head.encode())

    async def run(self, stop: anyio.Event) -> None:
        """Serve every stand-in until `stop` is set."""
        async with anyio.create_task_group() as task_group:
            for stand_in, address in self.endpoints:
                task_group.start_soon(stand_in.serve_until, address, stop)


def _host_entry(name: str, role: str, data_centre: str, address: str) -> dict[str, str]:
    return {
        "name": name,
        "role": role,
        "data_centre": data_centre,
        "state": STATE_LIVE,
        "address": address,
    }


def load_document(text: str, file: str) -> Document:
    """Return the validated document; raise ConfigError with all of its faults."""
    result = check_document(text, file)
    if isinstance(result, Failure):
        raise ConfigError(result.failure())
    return result.unwrap()


def _parse_entry(text: str) -> EntryHost:
    name, data_centre, address = text.split(",")
    return EntryHost(name, data_centre, address)


async def _run(environment: StandInEnvironment) -> None:
    stop = anyio.Event()
    environment.accept_configuration()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(environment.run, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                break


@click.command()
@click.option("--config", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--base-port", default=18000, show_default=True)
@click.option("--records", type=click.Path(path_type=Path), help="Folder for the record files.")
@click.option(
    "--entry", multiple=True, help="Daemon for the host list, as name,data_centre,ip:port."
)
@click.option(
    "--leave-out", multiple=True, help="Name of an upstream that another process simulates."
)
def main(
    config: Path,
    base_port: int,
    records: Path | None,
    entry: tuple[str, ...],
    leave_out: tuple[str, ...],
) -> None:
    """Run all stand-ins in one process, with the configuration accepted in the Object API."""
    document = load_document(config.read_text(), str(config))
    if records is not None:
        records.mkdir(parents=True, exist_ok=True)
    entries = [_parse_entry(text) for text in entry]
    anyio.run(_run, StandInEnvironment(document, base_port, records, entries, leave_out))


if __name__ == "__main__":
    main()

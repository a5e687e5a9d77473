"""Withdraw a key everywhere and find out where it is in force."""

from typing import Any

import anyio

from ..daemons.const import FRESHNESS_BOUND_S
from ..errors import AcaciarillError
from ..host_list.const import ROLE_ENTRY
from ..peers import messages
from ._daemon import OperatedDaemon
from .const import CONFIRM_GRACE_S, CONFIRM_PERIOD_S


async def withdraw_key(daemon: OperatedDaemon, key_id: str) -> dict[str, Any]:
    """Add a key to the withdrawn set and return where that is in force.

    It is in force everywhere once every listed daemon has confirmed it, or once the store and
    every daemon of this data centre have it for longer than the freshness bound: whoever serves
    keyed requests then has had a chain of contact to one of them, and so has it too.
    """
    daemon.config.merge_withdrawn_keys({key_id})
    end = daemon.timer.now() + FRESHNESS_BOUND_S + CONFIRM_GRACE_S
    unconfirmed = _other_daemons(daemon)
    stored = False
    anchored_at: float | None = None
    while True:
        stored = stored or await _store_withdrawal(daemon, key_id)
        await _confirm(daemon, key_id, unconfirmed)
        now = daemon.timer.now()
        own_unconfirmed = [
            name
            for name, data_centre in unconfirmed.items()
            if data_centre == daemon.settings.data_centre
        ]
        if stored and not own_unconfirmed and anchored_at is None:
            anchored_at = now
        waited = anchored_at is not None and now - anchored_at > FRESHNESS_BOUND_S
        if not unconfirmed or waited or now >= end:
            return {
                "id": key_id,
                "in_force": not unconfirmed or waited,
                "stored": stored,
                "unconfirmed": sorted(unconfirmed),
            }
        await anyio.sleep(CONFIRM_PERIOD_S)


def _other_daemons(daemon: OperatedDaemon) -> dict[str, str]:
    """Return every listed daemon but this one with its data centre, suspected ones too."""
    return {
        host.name: host.data_centre
        for host in daemon.membership.hosts.values()
        if host.role == ROLE_ENTRY and host.name != daemon.name
    }


async def _store_withdrawal(daemon: OperatedDaemon, key_id: str) -> bool:
    try:
        await daemon.config_store.add_withdrawn_keys({key_id})
    except AcaciarillError:
        return False
    return True


async def _confirm(daemon: OperatedDaemon, key_id: str, unconfirmed: dict[str, str]) -> None:
    async def ask(name: str) -> None:
        message = messages.Withdrawals(key_ids=[key_id])
        try:
            await daemon.links.call(daemon.membership.address(name), withdrawals=message)
        except AcaciarillError:
            return
        unconfirmed.pop(name, None)

    async with anyio.create_task_group() as task_group:
        for name in list(unconfirmed):
            if daemon.membership.address(name):
                task_group.start_soon(ask, name)


async def ask_daemons(daemon: OperatedDaemon, revision: int) -> dict[str, Any]:
    """Return on which listed daemons a revision, or a later one, is in force."""
    in_force: list[str] = []
    behind: list[str] = []
    if daemon.config.document.revision >= revision:
        in_force.append(daemon.name)
    else:
        behind.append(daemon.name)

    async def ask(name: str) -> None:
        heartbeat = messages.Heartbeat(
            daemon=daemon.name,
            revision=daemon.config.document.revision,
            withdrawn_digest=daemon.config.withdrawn_digest,
            hosts_digest=daemon.membership.digest,
        )
        try:
            frame = await daemon.links.call(daemon.membership.address(name), heartbeat=heartbeat)
        except AcaciarillError:
            behind.append(name)
            return
        good = frame.heartbeat_reply.revision >= revision
        (in_force if good else behind).append(name)

    async with anyio.create_task_group() as task_group:
        for name in _other_daemons(daemon):
            task_group.start_soon(ask, name)
    return {"revision": revision, "in_force": sorted(in_force), "behind": sorted(behind)}

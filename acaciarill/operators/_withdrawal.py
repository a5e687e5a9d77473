"""Withdraw keys on all daemons, and query on which daemons a revision is in force."""

from typing import Any

import anyio

from ..daemons.const import FRESHNESS_BOUND_S
from ..errors import AcaciarillError
from ..host_list.const import ROLE_ENTRY
from ..peers import messages
from ._daemon import OperatedDaemon
from .const import CONFIRM_RETRY_PERIOD_S, CONFIRM_TIMEOUT_MARGIN_S


async def withdraw_key(daemon: OperatedDaemon, key_id: str) -> dict[str, Any]:
    """Withdraw a key and return whether the withdrawal is in force everywhere.

    It is in force everywhere once every listed daemon has confirmed it, or once the store and
    every daemon of this data centre have had it for longer than FRESHNESS_BOUND_S. A daemon serves
    keyed requests only if it was in contact with the store or this data centre within that time,
    directly or through other daemons, and such a contact passes the withdrawal on.
    """
    daemon.config.merge_withdrawn_keys({key_id})
    deadline = daemon.timer.now() + FRESHNESS_BOUND_S + CONFIRM_TIMEOUT_MARGIN_S
    unconfirmed = _other_listed_daemons(daemon)
    stored = False
    locally_confirmed_at: float | None = None
    while True:
        stored = stored or await _store_withdrawal(daemon, key_id)
        await _send_withdrawals(daemon, key_id, unconfirmed)
        now = daemon.timer.now()
        locally_unconfirmed = [
            name
            for name, data_centre in unconfirmed.items()
            if data_centre == daemon.settings.data_centre
        ]
        if stored and not locally_unconfirmed and locally_confirmed_at is None:
            locally_confirmed_at = now
        freshness_bound_elapsed = (
            locally_confirmed_at is not None and now - locally_confirmed_at > FRESHNESS_BOUND_S
        )
        if not unconfirmed or freshness_bound_elapsed or now >= deadline:
            return {
                "id": key_id,
                "in_force": not unconfirmed or freshness_bound_elapsed,
                "stored": stored,
                "unconfirmed": sorted(unconfirmed),
            }
        await anyio.sleep(CONFIRM_RETRY_PERIOD_S)


def _other_listed_daemons(daemon: OperatedDaemon) -> dict[str, str]:
    """Return the data centre of every daemon on the host list but this one, suspected or not."""
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


async def _send_withdrawals(
    daemon: OperatedDaemon, key_id: str, unconfirmed: dict[str, str]
) -> None:
    """Send the withdrawal to the unconfirmed daemons and remove those that confirm it."""

    async def send_withdrawal(name: str) -> None:
        message = messages.Withdrawals(key_ids=[key_id])
        try:
            await daemon.links.call(daemon.membership.address(name), withdrawals=message)
        except AcaciarillError:
            return
        unconfirmed.pop(name, None)

    async with anyio.create_task_group() as task_group:
        for name in list(unconfirmed):
            if daemon.membership.address(name):
                task_group.start_soon(send_withdrawal, name)


async def query_coverage(daemon: OperatedDaemon, revision: int) -> dict[str, Any]:
    """Return on which listed daemons a revision or a later one is in force.

    A daemon that does not respond counts as behind.
    """
    in_force: list[str] = []
    behind: list[str] = []
    if daemon.config.document.revision >= revision:
        in_force.append(daemon.name)
    else:
        behind.append(daemon.name)

    async def query_daemon(name: str) -> None:
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
        is_current = frame.heartbeat_reply.revision >= revision
        (in_force if is_current else behind).append(name)

    async with anyio.create_task_group() as task_group:
        for name in _other_listed_daemons(daemon):
            task_group.start_soon(query_daemon, name)
    return {"revision": revision, "in_force": sorted(in_force), "behind": sorted(behind)}

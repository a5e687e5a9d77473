"""Watch the configuration in the Object API while this daemon is a relay."""

import random
from collections.abc import Callable

import anyio
import orjson
from eliot import log_message

from .config import ConfigCoordinator, ConfigHead, ConfigStore, build_document
from .config.const import HEAD_KEY, STATE_PREFIX, WITHDRAWN_KEYS_OBJECT_KEY
from .daemons import HeartbeatService, Membership
from .errors import AcaciarillError, ConfigError
from .object_store import ObjectStore, StoredObject

ROLE_POLL_PERIOD_S = 0.5
"""Period in which a daemon that is not a relay checks whether it has become one."""
BACKOFF_INITIAL_S = 0.5
BACKOFF_MAX_S = 4.0
FIRST_CONFIG_TIMEOUT_S = 3.0
"""Maximum time that a starting daemon waits for the store or for a peer's configuration."""


class StoreWatcher:
    """Apply changes of the stored configuration and key withdrawals from one open watch.

    Only relays watch the store. Each response also counts as a contact to the store. `position` is
    the position of the last response in the history of the store; a watch from 0 gets all objects.
    """

    def __init__(
        self,
        store: ObjectStore,
        config: ConfigCoordinator,
        config_store: ConfigStore,
        membership: Membership,
        heartbeats: HeartbeatService,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.config = config
        self.config_store = config_store
        self.membership = membership
        self.heartbeats = heartbeats
        self.clock = clock
        self.position = 0
        self.rng = random.Random()
        self.first_config = anyio.Event()

    async def wait_for_first_config(self) -> None:
        """Wait for the first response of the store or configuration of a peer.

        Return after FIRST_CONFIG_TIMEOUT_S without either.
        """
        unsubscribe = self.config.subscribe(self.first_config.set)
        with anyio.move_on_after(FIRST_CONFIG_TIMEOUT_S):
            await self.first_config.wait()
        unsubscribe()

    async def run(self) -> None:
        """Watch while this daemon is a relay, with jittered exponential backoff after failures."""
        backoff_s = BACKOFF_INITIAL_S
        while True:
            if not self.membership.is_relay():
                self.position = 0
                await anyio.sleep(ROLE_POLL_PERIOD_S)
                continue
            try:
                await self._watch_once()
                backoff_s = BACKOFF_INITIAL_S
            except AcaciarillError:
                jitter = 0.5 + self.rng.random()
                await anyio.sleep(backoff_s * jitter)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)

    async def _watch_once(self) -> None:
        sent_at = self.clock()
        result = await self.store.watch(STATE_PREFIX, self.position)
        for item in result.objects:
            await self._apply_object(item)
        self.position = result.position
        await self._write_withdrawals()
        self.heartbeats.record_store_contact(sent_at)
        self.first_config.set()

    async def _apply_object(self, item: StoredObject) -> None:
        if item.value is None:
            return
        if item.key == WITHDRAWN_KEYS_OBJECT_KEY:
            self.config.stored_withdrawn_key_ids = frozenset(orjson.loads(item.value))
            self.config.merge_withdrawn_keys(set(self.config.stored_withdrawn_key_ids))
        elif item.key == HEAD_KEY:
            head = ConfigHead.decode(item.value)
            if head.revision <= self.config.document.revision:
                return
            sections = await self.config_store.read_sections(head)
            try:
                self.config.update_document(build_document(head.revision, sections))
            except ConfigError as error:
                log_message(message_type="config:rejected", reason=error.message)

    async def _write_withdrawals(self) -> None:
        """Write withdrawals that were accepted during a store outage to the store."""
        if self.config.withdrawn_key_ids - self.config.stored_withdrawn_key_ids:
            stored = await self.config_store.add_withdrawn_keys(set(self.config.withdrawn_key_ids))
            self.config.stored_withdrawn_key_ids = frozenset(stored)

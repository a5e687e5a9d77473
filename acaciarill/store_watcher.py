"""Watch the accepted configuration in the Object API while this daemon is a relay."""

import random
from collections.abc import Callable

import anyio
import orjson
from eliot import log_message

from .config import ConfigCoordinator, ConfigStore, Head, build_document
from .config.const import HEAD_KEY, STATE_PREFIX, WITHDRAWN_KEY
from .daemons import HeartbeatService, Membership
from .errors import AcaciarillError, ConfigError
from .object_store import ObjectStore, StoredObject

IDLE_S = 0.5
BACKOFF_S = 0.5
BACKOFF_MAX_S = 4.0
FIRST_WAIT_S = 3.0


class StoreWatcher:
    """Keep one watch open per relay; each answer also proves contact to the store."""

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
        self.random = random.Random()
        self.first = anyio.Event()

    async def wait_for_first_config(self) -> None:
        """Wait a little for the first configuration, from the store or from a peer."""
        unsubscribe = self.config.subscribe(self.first.set)
        with anyio.move_on_after(FIRST_WAIT_S):
            await self.first.wait()
        unsubscribe()

    async def run(self) -> None:
        """Watch while this daemon is a relay; with jittered back-off after a failure."""
        backoff_s = BACKOFF_S
        while True:
            if not self.membership.is_relay():
                self.position = 0
                await anyio.sleep(IDLE_S)
                continue
            try:
                await self._watch_once()
                backoff_s = BACKOFF_S
            except AcaciarillError:
                jitter = 0.5 + self.random.random()
                await anyio.sleep(backoff_s * jitter)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)

    async def _watch_once(self) -> None:
        sent_at = self.clock()
        result = await self.store.watch(STATE_PREFIX, self.position)
        for item in result.objects:
            await self._take(item)
        self.position = result.position
        await self._write_withdrawals()
        self.heartbeats.record_store_contact(sent_at)
        self.first.set()

    async def _take(self, item: StoredObject) -> None:
        if item.value is None:
            return
        if item.key == WITHDRAWN_KEY:
            self.config.stored_withdrawn = frozenset(orjson.loads(item.value))
            self.config.offer_withdrawn(set(self.config.stored_withdrawn))
        elif item.key == HEAD_KEY:
            head = Head.decode(item.value)
            if head.revision <= self.config.document.revision:
                return
            sections = await self.config_store.read_sections(head)
            try:
                self.config.offer_document(build_document(head.revision, sections))
            except ConfigError as error:
                log_message(message_type="config:rejected", reason=error.message)

    async def _write_withdrawals(self) -> None:
        """Bring withdrawals that were accepted during an outage into the store."""
        if self.config.withdrawn - self.config.stored_withdrawn:
            stored = await self.config_store.add_withdrawn(set(self.config.withdrawn))
            self.config.stored_withdrawn = frozenset(stored)

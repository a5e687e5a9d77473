"""Ask the daemon that decides on a matter for all daemons, without electing one."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from eliot import log_message

from ..errors import PeerError
from ._members import Members
from .const import ISSUER_BACKOFF_S, MAX_ISSUERS_TRIED, PERMIT_TIMEOUT_S

Decision = TypeVar("Decision")


class Issuers:
    """Ask the first live daemon in the rendezvous order of a key, or the next if it is lost.

    `on_lost` is called when a daemon did not respond.
    """

    def __init__(
        self,
        members: Members,
        clock: Callable[[], float],
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self.members = members
        self.clock = clock
        self.on_lost = on_lost
        self.avoided_until: dict[str, float] = {}
        self.isolated_until = 0.0

    async def ask(
        self,
        key: str,
        decide_here: Callable[[], Decision],
        call: Callable[[str], Awaitable[Decision]],
    ) -> Decision | None:
        """Return the decision for a key, or None if this daemon reaches no issuer.

        `decide_here` is called if this daemon is the issuer, `call` with the name of another one.
        """
        now = self.clock()
        if self.isolated_until > now:
            return None
        issuers = [
            name
            for name in self.members.live_order(key)
            if self.avoided_until.get(name, 0.0) <= now
        ]
        for name in issuers[:MAX_ISSUERS_TRIED]:
            if name == self.members.name:
                return decide_here()
            try:
                with anyio.fail_after(PERMIT_TIMEOUT_S):
                    return await call(name)
            except (PeerError, TimeoutError) as error:
                self.avoided_until[name] = self.clock() + ISSUER_BACKOFF_S
                self.on_lost()
                log_message(
                    message_type="permits:issuer_lost",
                    peer=name,
                    reason=str(error) or "timed out waiting for the response",
                    backoff_s=ISSUER_BACKOFF_S,
                )
        self.isolated_until = self.clock() + ISSUER_BACKOFF_S
        return None

"""Decide from plain data whether links are lost, what to probe, and who may relay."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..fleet import Upstream
from ..peers import rendezvous_order
from .const import BREAK_SILENT_AFTER_S, CHECK_PERIOD_S, DUTY_HOLD_OFF_S, LONG_SILENCE_S, SILENCE_S


@dataclass(slots=True)
class LinkState:
    """Hold what a daemon knows of its own links to the upstreams; times are on its clock.

    `quiet_since` is when the last byte arrived from any upstream, or when the oldest open exchange
    began if that is later. A daemon with lost links is cut off.
    """

    quiet_since: float = -math.inf
    checked_at: float = -math.inf
    cut_off_since: float | None = None
    restored_at: float = -math.inf


@dataclass(slots=True, frozen=True)
class RelayCandidate:
    """Describe a daemon that may relay; `is_busy` says that it serves clients itself."""

    name: str
    data_centre: str
    is_busy: bool
    is_reachable: bool
    is_draining: bool
    is_cut_off: bool
    avoided_until: float = -math.inf


def is_quiet(links: LinkState, now: float) -> bool:
    """Return whether no byte has arrived for so long that exchanges may be stalled."""
    return now - links.quiet_since >= SILENCE_S


def is_check_due(links: LinkState, is_stalled: bool, now: float) -> bool:
    """Return whether the links must be checked if bytes are expected but do not arrive.

    A stalled exchange shows a lost link, or one dead host. Without one all upstreams may just be
    slow, as while engines load weights, which takes a second.
    """
    silence_s = SILENCE_S if is_stalled else LONG_SILENCE_S
    return (
        links.cut_off_since is None
        and now - links.quiet_since >= silence_s
        and now - links.checked_at >= CHECK_PERIOD_S
    )


def is_silent_exchange(received_at: float, now: float) -> bool:
    """Return whether a direct exchange of a daemon that is cut off must be given up."""
    return now - received_at >= BREAK_SILENT_AFTER_S


def choose_probes(upstreams: Sequence[Upstream], suspect: str, count: int) -> list[Upstream]:
    """Return upstreams to connect to, other than the suspect one and as unlike as possible.

    If another service or data centre can be reached, the links work and the suspect is down.
    """
    remaining = [upstream for upstream in upstreams if upstream.id != suspect]
    chosen: list[Upstream] = []
    while remaining and len(chosen) < count:
        services = [upstream.service for upstream in chosen]
        data_centres = [upstream.data_centre for upstream in chosen]
        next_probe = min(
            remaining,
            key=lambda upstream: (
                services.count(upstream.service),
                data_centres.count(upstream.data_centre),
            ),
        )
        remaining.remove(next_probe)
        chosen.append(next_probe)
    return chosen


def are_links_lost(reached: Sequence[bool]) -> bool:
    """Return whether no probed upstream was reached; without any probe, nothing is known."""
    return bool(reached) and not any(reached)


def may_acquire_duties(links: LinkState, now: float) -> bool:
    """Return whether the links are, and have been for long enough, such that orders arrive."""
    return links.cut_off_since is None and now - links.restored_at >= DUTY_HOLD_OFF_S


def order_relays(
    candidates: Sequence[RelayCandidate], name: str, data_centre: str, now: float
) -> list[str]:
    """Return the daemons that may relay for another one, the preferred one first.

    Daemons without clients come first, then those of the same data centre; each daemon has an
    order of its own, so that the load is spread. Those that failed lately come last.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.is_reachable and not candidate.is_draining and not candidate.is_cut_off
    ]
    rank = {
        relay: position
        for position, relay in enumerate(rendezvous_order(name, [c.name for c in usable]))
    }
    usable.sort(
        key=lambda candidate: (
            candidate.avoided_until > now,
            candidate.is_busy,
            candidate.data_centre != data_centre,
            rank[candidate.name],
        )
    )
    return [candidate.name for candidate in usable]

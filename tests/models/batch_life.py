"""Model the life of a batch on an unreliable store: accept, own, append, read, end and take over.

The client submits one batch of two items to two daemons in turn. Both daemons may believe that they
own it. Either may stop at any point, act on an outdated head, or abandon a write that the store
executes later. Any response of the store may be lost. The model leaves out time, engine failures
and deletion.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

ITEMS = (0, 1)
MAX_EPOCH = 2
MAX_DELAYED_APPENDS = 1
MAX_SEGMENTS = 3

PARTS_FIRST = "parts before the head"
"""Store all parts before the head: a batch whose head exists must be complete."""
RESOLVE_UNKNOWN_CREATE = "resolve a create without a response"
"""Never refuse a batch whose head may have been stored."""
CONDITIONAL_UPDATE = "conditional update of the head"
"""Update only the head that was read: a takeover must not undo the end of the batch."""
CREATE_ONLY = "segments are only created"
"""Never overwrite a segment: a result must keep its position."""
READ_AFTER_CONFLICT = "read the segment after a conflict"
"""Read the segment that caused a conflict: its items must not be appended again."""
SHOW_ONLY_STORED = "show only stored results"
"""Show a result only once it is stored: another result may take its position."""
LOAD_FIRST = "load the log before use"
"""Read all earlier segments first: a reader must not get the end of the results too early."""
ALL_GUARDS = frozenset(
    {
        PARTS_FIRST,
        RESOLVE_UNKNOWN_CREATE,
        CONDITIONAL_UPDATE,
        CREATE_ONLY,
        READ_AFTER_CONFLICT,
        SHOW_ONLY_STORED,
        LOAD_FIRST,
    }
)

IDLE, STORING_PARTS, CREATING_HEAD, HEAD_UNCONFIRMED = (
    "idle",
    "parts",
    "head",
    "head unconfirmed",
)
ACCEPTED, REFUSED, NO_RESPONSE = "accepted", "refused", "no response"


class Head(NamedTuple):
    """The stored object whose existence makes the batch accepted."""

    owner: int = 0
    epoch: int = 1
    ended: bool = False


class Result(NamedTuple):
    """The result of an item, and the daemon that produced it."""

    item: int
    owner: int


class OwnerState(NamedTuple):
    """A daemon that may own the batch, with the part of the log and the head that it has read.

    `restarted` tells whether an earlier process of the daemon ran the batch, `initial_segments` is
    the length of the log when the daemon started to run it.
    """

    running: bool = False
    restarted: bool = False
    initial_segments: int = 0
    known_segments: int = 0
    logged_items: frozenset[int] = frozenset()
    read_head: Head | None = None


class State(NamedTuple):
    """The store, its delayed writes, the daemons, and what the client has received."""

    parts: bool = False
    head: Head | None = None
    log: tuple[Result, ...] = ()
    delayed_head: bool = False
    delayed_appends: frozenset[tuple[int, Result]] = frozenset()
    acceptance_phases: tuple[str, str] = (IDLE, IDLE)
    owners: tuple[OwnerState, OwnerState] = (OwnerState(), OwnerState())
    shown_results: tuple[Result, ...] = ()
    result_missed: bool = False
    end_confirmed: bool = False


def steps(guards: frozenset[str]) -> Callable[[State], Iterable]:
    """Return the function that yields the steps from a state under a set of guards."""

    def next_steps(state: State) -> Iterable[tuple[str, State]]:
        yield from _accept_steps(state, guards)
        yield from _delayed_write_steps(state, guards)
        for index in (0, 1):
            yield from _owner_steps(state, index, guards)
        yield from _client_steps(state)

    return next_steps


def violates_guarantee(state: State) -> bool:
    """Return whether the state violates a guarantee of batches."""
    is_accepted = ACCEPTED in state.acceptance_phases
    batch_lost = is_accepted and (state.head is None or not state.parts)
    false_refusal = state.acceptance_phases == (REFUSED, REFUSED) and state.head is not None
    items = [result.item for result in state.log]
    item_duplicated = len(items) != len(set(items))
    position_changed = any(
        shown != stored for shown, stored in zip(state.shown_results, state.log, strict=False)
    )
    end_lost = state.end_confirmed and (state.head is None or not state.head.ended)
    return (
        batch_lost
        or false_refusal
        or item_duplicated
        or position_changed
        or end_lost
        or state.result_missed
    )


def _accept_steps(state: State, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    for index, phase in enumerate(state.acceptance_phases):
        if phase in (ACCEPTED, REFUSED, NO_RESPONSE):
            continue
        if phase == IDLE:
            if index == 0 or state.acceptance_phases[0] in (ACCEPTED, REFUSED, NO_RESPONSE):
                first_phase = STORING_PARTS if PARTS_FIRST in guards else CREATING_HEAD
                already_accepted = state.head is not None  # the daemon's mirror may have the head
                yield "already accepted", (
                    _set_phase(state, index, ACCEPTED) if already_accepted else state
                )
                yield "begin", _set_phase(state, index, first_phase)
            continue
        yield "crash", _set_phase(state, index, NO_RESPONSE)
        if phase == STORING_PARTS:
            next_phase = CREATING_HEAD if PARTS_FIRST in guards else ACCEPTED
            yield "parts stored", _set_phase(state._replace(parts=True), index, next_phase)
            yield "parts stored, response lost", state._replace(parts=True)
            if PARTS_FIRST in guards:
                yield "parts refused", _set_phase(state, index, REFUSED)
            continue
        yield from _create_head(state, index, guards)


def _create_head(state: State, index: int, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    done = ACCEPTED if PARTS_FIRST in guards else STORING_PARTS
    if state.head is not None:
        yield "head exists", _set_phase(state, index, done)
    else:
        stored = state._replace(head=Head())
        yield "head stored", _set_phase(stored, index, done)
        yield "head stored, response lost", _set_phase(stored, index, HEAD_UNCONFIRMED)
        yield "head delayed", _set_phase(state._replace(delayed_head=True), index, HEAD_UNCONFIRMED)
    if state.acceptance_phases[index] == CREATING_HEAD or RESOLVE_UNKNOWN_CREATE not in guards:
        yield "head refused", _set_phase(state, index, REFUSED)


def _set_phase(state: State, index: int, phase: str) -> State:
    acceptance_phases = list(state.acceptance_phases)
    acceptance_phases[index] = phase
    return state._replace(acceptance_phases=(acceptance_phases[0], acceptance_phases[1]))


def _delayed_write_steps(state: State, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    """Execute delayed writes that their senders have abandoned."""
    if state.delayed_head:
        head = state.head if state.head is not None else Head()
        yield "delayed head stored", state._replace(head=head, delayed_head=False)
    for write in state.delayed_appends:
        segment, result = write
        log = _log_with_segment(state.log, segment, result, guards)
        yield "delayed append stored", state._replace(
            log=log or state.log, delayed_appends=state.delayed_appends - {write}
        )


def _log_with_segment(
    log: tuple[Result, ...], segment: int, result: Result, guards: frozenset[str]
) -> tuple[Result, ...] | None:
    """Return the log with a segment written, or None on a conflict."""
    if segment == len(log):
        return (*log, result)
    if CREATE_ONLY in guards:
        return None
    return (*log[:segment], result, *log[segment + 1 :])


def _owner_steps(state: State, index: int, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    owner, head = state.owners[index], state.head
    if owner.running:
        yield "stop", _set_owner(state, index, OwnerState(restarted=True))
        if owner.known_segments < owner.initial_segments:
            yield "load", _set_owner(state, index, _read_next_segment(state, owner))
        if (
            owner.known_segments < min(owner.initial_segments, len(state.shown_results))
            and LOAD_FIRST not in guards
        ):
            yield "report the end of the results", state._replace(result_missed=True)
        if owner.known_segments >= owner.initial_segments or LOAD_FIRST not in guards:
            yield from _append_steps(state, index, guards)
    elif head is not None and head.owner == index and not head.ended:
        # In the first epoch only an earlier process of this daemon can have appended results.
        may_start = head.epoch > 1 or not owner.restarted or LOAD_FIRST not in guards
        if may_start:
            started = owner._replace(running=True, initial_segments=len(state.log))
            yield "start", _set_owner(state, index, started)
    if head is None:
        return
    if owner.read_head is None and head.epoch < MAX_EPOCH:
        yield "read head", _set_owner(state, index, owner._replace(read_head=head))
    if owner.read_head is not None:
        without_read = _set_owner(state, index, owner._replace(read_head=None))
        if CONDITIONAL_UPDATE in guards and owner.read_head != head:
            yield "conflict", without_read
        else:
            new_head = owner.read_head._replace(owner=index, epoch=owner.read_head.epoch + 1)
            yield "take over", without_read._replace(head=new_head)


def _read_next_segment(state: State, owner: OwnerState) -> OwnerState:
    item = state.log[owner.known_segments].item
    return owner._replace(
        known_segments=owner.known_segments + 1, logged_items=owner.logged_items | {item}
    )


def _append_steps(state: State, index: int, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    owner = state.owners[index]
    for item in ITEMS:
        if item in owner.logged_items:
            continue
        result = Result(item, index)
        if SHOW_ONLY_STORED not in guards and owner.known_segments == len(state.shown_results):
            yield "show before the append", state._replace(
                shown_results=(*state.shown_results, result)
            )
        if owner.known_segments >= MAX_SEGMENTS:
            continue
        appended = owner._replace(
            known_segments=owner.known_segments + 1, logged_items=owner.logged_items | {item}
        )
        log = _log_with_segment(state.log, owner.known_segments, result, guards)
        if log is not None:
            stored = state._replace(log=log)
            yield "append", _set_owner(stored, index, appended)
            yield "append, response lost", stored
            if len(state.delayed_appends) < MAX_DELAYED_APPENDS:
                delayed_appends = state.delayed_appends | {(owner.known_segments, result)}
                yield "append delayed", state._replace(delayed_appends=delayed_appends)
        elif READ_AFTER_CONFLICT in guards:
            yield "append conflict, read", _set_owner(
                state, index, _read_next_segment(state, owner)
            )
        else:
            skipped = owner._replace(known_segments=owner.known_segments + 1)
            yield "append conflict, segment skipped", _set_owner(state, index, skipped)


def _set_owner(state: State, index: int, owner: OwnerState) -> State:
    owners = list(state.owners)
    owners[index] = owner
    return state._replace(owners=(owners[0], owners[1]))


def _client_steps(state: State) -> Iterable[tuple[str, State]]:
    """Read results from any daemon, and end the batch by a conditional update."""
    if len(state.log) > len(state.shown_results):
        yield "read", state._replace(
            shown_results=(*state.shown_results, state.log[len(state.shown_results)])
        )
    if state.head is not None and not state.end_confirmed:
        ended = state._replace(head=state.head._replace(ended=True))
        yield "end", ended._replace(end_confirmed=True)
        yield "end, response lost", ended

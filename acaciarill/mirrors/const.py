"""Define the long-poll times, delays and limits of watching the store's objects."""

WATCH_WAIT_S = 15.0
"""Long-poll time of a daemon that serves clients; pings of its peers reveal a stalled watch."""
WATCH_WAIT_KEEPER_S = 4.0
"""Long-poll time of a daemon without clients, which must detect a stalled watch itself and inform
its peers."""
WATCH_WAIT_URGENT_S = 1.1
"""Long-poll time of any daemon for the configuration and the upstreams, whose changes must be known
soon even if a watch has stalled."""
WATCH_CYCLE_URGENT_S = 1.25
"""Longest time from one answer to a watch of these kinds to the next, changes or not."""
WATCH_RETRY_DELAY_S = 0.25
LISTING_RETRY_DELAY_FRONT_S = 1.0
"""Delay after a failed listing of a daemon that serves clients, which calls the store only if no
peer can."""
HISTORY_MAX_ENTRIES = 64
"""About 20 s of changes, collected for 0.3 s per entry; the store retains its history as long."""
MAX_CONFIRMATION_GAP_S = 3.0
"""An object may have come and gone unseen in a longer time without a confirmation: a registration
lasts that long at least."""
MIN_OUTAGE_S = 0.6
"""Calls to the store must fail for this long to count as an outage. A watch that was cut is open
again sooner, and no entry expires in less time."""

"""Define the times and limits of detecting lost links and of relaying."""

SILENCE_S = 0.3
"""Time without a byte from any upstream after which the links are checked if an upstream's host has
not confirmed what was sent to it."""
LONG_SILENCE_S = 1.2
"""The same if all hosts have confirmed what was sent to them."""
PROBE_TIMEOUT_S = 0.25
"""Connections open within a few ms; the requests that wait for the result have 0.8 s and more."""
PROBE_STAGGER_S = 0.03
"""Delay before each further probe, as one that succeeds is enough."""
PROBED_UPSTREAMS = 3
CHECK_PERIOD_S = 1.0
"""Shortest time between two checks because of silence; an upstream may be slow for long."""
RECOVERY_PROBE_PERIOD_S = 0.5
BREAK_SILENT_AFTER_S = 0.7
"""How long, while the links are lost, a direct exchange that may run again may stay silent."""
DUTY_HOLD_OFF_S = 6.0
"""How long after its links are back a daemon acquires no duty, so that two daemons whose links come
and go do not take turns; longer than any lease."""

MAX_RELAYS_TRIED = 3
RELAY_BACKOFF_S = 2.0
"""How long a daemon that did not relay a request is asked only if no other one can."""
RELAY_CONNECT_TIMEOUT_S = 0.4
RELAY_IDLE_REUSE_S = 4.0
RELAY_TCP_USER_TIMEOUT_MS = 2500
MAX_RELAYED_EXCHANGES = 256
"""Limit of the exchanges that one daemon relays at a time; beyond it, it refuses."""
RELAY_PING_PERIOD_S = 0.5
RELAY_CONTACT_TTL_S = 2.0
"""A relay ends the exchanges of a daemon that it has not heard of for this long, which is shorter
than PEER_DEAD_AFTER_S: nobody may take over a batch whose items still run for its old owner."""

RELAY_REFUSED = "relay-refused"
"""Code of the error of a relay that accepts no more exchanges."""
RELAY_UPSTREAM_LEFT = "relay-upstream-left"
"""Code of the error of a relay that knows that the upstream has left, or does not know it."""

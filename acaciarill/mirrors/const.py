"""Name the times of following the store's objects."""

WATCH_WAIT_S = 15.0
"""Daemons that serve callers learn of lost watches from their peers."""
WATCH_WAIT_KEEPER_S = 4.0
WATCH_WAIT_CONFIGURATION_S = 1.5
"""Daemons without callers notice lost watches themselves and tell the others: a configuration must
be in force within two seconds."""
WATCH_RETRY_DELAY_S = 0.25
WATCH_RETRY_DELAY_FRONT_S = 1.0
"""Daemons that usually follow a peer try the store so often while no peer reaches it."""
HISTORY_ENTRIES = 64
"""Changes are gathered for 0.3 s, so this is some 20 s of them, as long as the store keeps."""

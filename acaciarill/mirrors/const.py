"""Name the times of following the store's objects."""

WATCH_WAIT_S = 15.0
"""Daemons that serve callers learn of lost watches from their peers."""
WATCH_WAIT_KEEPER_S = 4.0
WATCH_WAIT_CONFIGURATION_S = 1.5
"""Daemons without callers notice lost watches themselves and tell the others: a configuration must
be in force within two seconds."""
WATCH_RETRY_S = 0.25

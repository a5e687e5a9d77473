"""Define the periods, limits and backoffs of rollouts."""

CALL_TIMEOUT_S = 2.0
ROLLOUT_PERIOD_S = 1.0
MAX_LOADING_SHARE = 0.25
"""Share of a model's engines in a data centre that may load weights, and not serve, at once."""

ROLLOUT_POLL_PERIOD_S = 0.05
"""How often a running rollout checks which engines it can order next."""

FETCH_URL_RETRY_DELAY_S = 1.0
FETCH_URL_JITTER_SHARE = 0.5
"""A failed request of a fetch URL is retried after the delay that a rate limit asks for, or after
FETCH_URL_RETRY_DELAY_S, shortened by a random part of up to this share."""

WEIGHT_LOAD_BACKOFF_INITIAL_S = 2.0
WEIGHT_LOAD_BACKOFF_MAX_S = 60.0
"""The backoff of an engine after a failed weight load doubles up to this maximum."""

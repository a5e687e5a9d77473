"""Define the timeouts, periods and limits of serving a shared fleet of upstreams."""

ATTEMPT_TIMEOUT_FACTOR = 2.0
"""Timeout of an attempt of a repeatable request, as a multiple of its route's latency objective."""
ATTEMPT_TIMEOUT_MIN_S = 0.25
EJECTION_BASE_S = 1.5
"""Ejection after the first failure; it outlasts the connection resets of most restarts."""
EJECTION_MAX_S = 6.0
OVERLOAD_BACKOFF_S = 0.2
"""How long an upstream that rejected a request is used only if all others are full; the time
doubles with each rejection that follows soon."""
OVERLOAD_BACKOFF_MAX_S = 0.8
DEREGISTERED_STATE_TTL_S = 60.0
"""How long the state of an upstream is kept after its registration is gone, as it may return."""
LEAVING_STATE_TTL_S = 3600.0
"""The same for an upstream that has said that it leaves: it must get no requests if it returns."""
LOAD_REPORT_TTL_S = 1.0
"""How long a load report of an upstream is used; the load changes within a second."""
EVENT_INTERVAL_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of an engine's event interval."""
EVENT_INTERVAL_TTL_S = 4.0
"""How long an average is used after its last sample; a slow engine is then tried again."""
EVENT_INTERVAL_MAX_S = 0.4
"""A single longer interval is a weight load or a lost event and does not count."""
SLOW_ENGINE_FACTOR = 1.7
"""An engine is slow if its event interval is longer than that of the fastest by this factor."""
RETRY_DELAY_MAX_S = 0.03
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_JITTER_S = 0.3
DEADLINE_RESERVE_S = 0.02
"""Time reserved before a request's deadline so that the final response still reaches the client."""

MIN_RATE = 0.25
"""Lowest rate at which an upstream gets requests; without any, the end of a limit would never be
noticed."""
PERMIT_BURST_S = 1.0
"""How many seconds' worth of permits may be issued at once after a pause."""
SUBSTITUTE_RATE_SHARE = 0.25
"""Share of the limit that a daemon issues that is not the first choice as issuer; with the first
choice's permits, the sum stays within one and a half times the limit."""
MAX_PROMISED_WAIT_S = 3.0
"""How far ahead rejected requests are told to come back; clients wait at most a third of their
remaining time."""
PERMIT_TIMEOUT_S = 0.4
PERMIT_PENDING_S = 0.1
"""How long an upstream with a rate limit counts as limited while a permit is requested."""
ISSUER_BACKOFF_S = 3.0
"""How long an issuer is not asked again after it did not respond."""
ISSUER_PING_PERIOD_S = 0.5
MAX_ISSUERS_TRIED = 2
BUCKET_TTL_S = 60.0
LIMIT_PATIENCE_FACTOR = 0.5
"""How long a request waits for a permit, as a share of its route's latency objective."""

PING_PERIOD_S = 1.0
PING_TIMEOUT_S = 0.8
PEER_DEAD_AFTER_S = 2.5
"""Time without a ping reply after which a daemon counts as dead: two periods and a timeout."""
STORE_CONTACT_TTL_S = 3.0
"""A peer whose last response from the store is more recent than this may relay calls to it."""

STORE_CALL_TIMEOUT_S = 1.0
"""Calls take 4 ms, and 60 times as long while the store is slow."""
STORE_BACKOFF_S = 2.0
"""How long calls go through peers after the store rejected or did not answer a direct call."""
WATCH_TIMEOUT_MARGIN_S = 1.0
"""Time added to the long-poll time of a watch before its call times out."""
VIEW_FETCH_DELAY_S = 0.4
"""How long a daemon waits for changes that a peer already has before it fetches the peer's view;
its own watch is delayed by up to 0.3 s, while changes are gathered."""

DUTY_LEASE_TTL_S = 2.0
"""Shorter than LEASE_TTL_S: without a holder no engine gets new weights, and training steps come
every 4 s."""
DUTY_LEASE_RENEW_PERIOD_S = 0.5
USAGE_COLLECTION_PERIOD_S = 1.0
USAGE_REPORT_DELAY_S = 2.5
"""Time from a window's end to its report; all daemons answer a collection within this time."""
USAGE_RETAINED_WINDOWS = 8
WEIGHTS_PERIOD_S = 0.2
ORDER_TIMEOUT_S = 0.4
"""Engines answer within milliseconds; an unanswered order is sent again, which is safe because
each order carries a precondition."""
ORDER_RETRY_DELAY_S = 2.0
SCALE_PERIOD_S = 1.0
RETIRE_PERIOD_S = 0.5

DRAIN_NOTICE_S = 2.6
"""The load balancer removes a daemon after two failed health checks, sent once a second."""
DRAIN_MARGIN_S = 0.8
DRAIN_POLL_S = 0.05

CRASH_CHECK_TIMEOUT_S = 0.15
"""The next attempt of the request waits for this check."""
CRASH_DETECTION_S = 6.0
"""How long after a request got no response a refused connection, or a registration that goes away,
tells of a crash; registrations expire some 3 s after one."""
MAX_SUSPICIONS = 200

MAX_CRASHES_WITHOUT_TRIAL = 1
"""Crashes of upstreams under a request after which it is still retried like any other."""
MAX_CRASHES = 3
"""Crashes under a request after which it gets only the trials of LATE_TRIAL_BACKOFFS_S."""
TRIAL_BACKOFF_S = 3.0
"""How long after a trial without an outcome, or after a crash that left a service with a single
upstream, the next trial may follow; upstreams are back after some seconds."""
LATE_TRIAL_BACKOFFS_S = (TRIAL_BACKOFF_S, 15.0)
"""How long after the last crash or trial each trial may follow that is sent after MAX_CRASHES."""
TRIAL_RESERVATION_S = 1.0
"""How long an issued trial blocks others until it is sent."""
TRIAL_POLL_S = 0.02
TRIAL_RECHECK_S = 0.2
"""How often a request that waits for another attempt's trial asks the issuer again."""
CRASH_RECORD_TTL_S = 3600.0
"""How long the crashes under a request are kept after the last of them or the last trial."""
COMPLETED_RECORD_TTL_S = 60.0
"""How long the completion of a request overrides older reports of crashes that arrive late."""
MAX_CRASH_RECORDS = 1000

STREAM_VERSION_TTL_S = 300.0
"""How long it is known at least which software version began a stream."""
MAX_STREAM_VERSIONS = 50_000
STREAM_RECORD_BYTES = 640
"""What the record of one stream takes in memory at most."""
STREAM_MEMORY_SHARE = 0.1
"""Share of the process's memory that records of streams may take."""
MAX_STREAM_KEY_CHARACTERS = 96
MAX_STREAM_TTL_S = 24 * 3600.0
MAX_STREAMS_PER_MESSAGE = 200
RECORDS_PER_TURN = 500
"""How many records are checked at a time; other tasks run in between."""
STREAM_HOLDERS_PERIOD_S = 0.5
"""How often it is checked whether the daemons that know the streams are still there."""
HAND_OVER_POLL_S = 0.1
FINAL_HAND_OVER_S = 0.3
"""Time, of DRAIN_MARGIN_S, for a last check that others know the streams; pings take some ms."""
STREAM_HOLDERS_ASKED = 3
"""How many daemons of each role are asked for a stream; the order may have changed since."""
LOST_HOLDERS_ASKED = 2
"""How many daemons that seem lost are asked too, those that were heard of last."""
STREAM_LOOKUP_TIMEOUT_S = 2.0
LOOKUP_PATIENCE_FACTOR = 0.5
"""Share of a request's remaining time for which it waits for the daemons that may know its
stream."""
STREAM_AGE_FACTOR = 4.0
"""Longest time for which clients take up a stream, as a multiple of its route's timeout."""
STREAM_AGE_MIN_S = 30.0

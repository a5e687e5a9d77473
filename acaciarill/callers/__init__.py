"""Serve callers over HTTP: authentication, admission control and streamed responses."""

from ._admission import Admission, FairQueue
from ._app import CallersApp
from ._claims import ClaimStore
from ._durations import DurationEstimator
from ._generate import cache_salt
from ._keys import Authenticator, Caller, key_digest, new_key
from ._quotas import Quota, local_quota, max_min_allocation

__all__ = [
    "Admission",
    "Authenticator",
    "Caller",
    "CallersApp",
    "ClaimStore",
    "DurationEstimator",
    "FairQueue",
    "Quota",
    "cache_salt",
    "key_digest",
    "local_quota",
    "max_min_allocation",
    "new_key",
]

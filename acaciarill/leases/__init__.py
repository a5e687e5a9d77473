"""Hold duties by leases in the object store."""

from ._lease import Lease, LeaseHolder, LeaseRecord, LeaseStore, hold_off_s

__all__ = ["Lease", "LeaseHolder", "LeaseRecord", "LeaseStore", "hold_off_s"]

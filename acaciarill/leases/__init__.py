"""Elect the holder of a duty by a lease in the object store."""

from ._lease import Lease, LeaseHolder, LeaseRecord, LeaseStore, takeover_delay_s

__all__ = ["Lease", "LeaseHolder", "LeaseRecord", "LeaseStore", "takeover_delay_s"]

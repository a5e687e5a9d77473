"""Mirror the store's objects of one kind, from a watch of the store or from a peer."""

from ._mirror import DECODE_ERRORS, Change, KindSource, Mirror, MirrorFollower, Record

__all__ = ["DECODE_ERRORS", "Change", "KindSource", "Mirror", "MirrorFollower", "Record"]

"""Mirror the store's objects of one kind, from a watch of the store or from a peer."""

from ._mirror import Change, KindSource, Mirror, MirrorFollower, Record

__all__ = ["Change", "KindSource", "Mirror", "MirrorFollower", "Record"]

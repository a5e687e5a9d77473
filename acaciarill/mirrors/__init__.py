"""Keep a copy of the objects of one kind, from the store's watch or from a peer."""

from ._mirror import Change, KindSource, Mirror, MirrorFollower, Record

__all__ = ["Change", "KindSource", "Mirror", "MirrorFollower", "Record"]

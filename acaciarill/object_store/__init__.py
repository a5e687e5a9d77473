"""Talk to the platform's Object API: objects and watches."""

from ._client import ObjectStore, StoredObject, WatchResult

__all__ = ["ObjectStore", "StoredObject", "WatchResult"]

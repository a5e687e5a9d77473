"""Read, write and watch objects in the platform's Object API."""

from ._client import ObjectStore, StoredObject, WatchResult

__all__ = ["ObjectStore", "StoredObject", "WatchResult"]

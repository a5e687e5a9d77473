"""Keep objects in memory behind the interface of the Object API client, with injected failures."""

from acaciarill.errors import Outcome, Step, StoreConflictError, StoreError
from acaciarill.object_store import StoredObject


class FakeStore:
    """Behave like the Object API client.

    The next `lose_next_responses` writes take effect but raise StoreError; while `unavailable`,
    every call fails with the outcome NOT_RUN.
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.position = 0
        self.lose_next_responses = 0
        self.unavailable = False

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object's value and version, or None."""
        self._check()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object if it has the expected version (0: absent); return its new version."""
        self._check()
        current = self.objects[key][1] if key in self.objects else 0
        if current != expected_version:
            raise StoreConflictError("the object has another version", step=Step.STORE)
        self.position += 1
        self.objects[key] = (value, self.position)
        if self.lose_next_responses:
            self.lose_next_responses -= 1
            raise StoreError("the response was lost", step=Step.STORE)
        return self.position

    async def delete(self, key: str) -> None:
        """Delete an object."""
        self._check()
        self.objects.pop(key, None)

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return the next objects of a kind after a key, at most two so that tests cross pages."""
        self._check()
        names = sorted(name for name in self.objects if name.startswith(kind + "/") and name > key)
        return [(name, self.objects[name][0]) for name in names[:2]]

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix."""
        self._check()
        return [
            StoredObject(key, version, value)
            for key, (value, version) in self.objects.items()
            if key.startswith(prefix)
        ]

    def _check(self) -> None:
        if self.unavailable:
            raise StoreError("the store is unavailable", step=Step.STORE, outcome=Outcome.NOT_RUN)

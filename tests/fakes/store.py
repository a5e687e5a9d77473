"""Keep objects in memory behind the client's interface, with failures on demand."""

from acaciarill.errors import Outcome, Step, StoreConflictError, StoreError
from acaciarill.object_store import StoredObject


class FakeStore:
    """Answer like the Object API client; `lose_next` writes take effect without an answer."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.position = 0
        self.lose_next = 0
        self.down = False

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version."""
        self._check()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object conditionally."""
        self._check()
        current = self.objects[key][1] if key in self.objects else 0
        if current != expected_version:
            raise StoreConflictError("another version", step=Step.STORE)
        self.position += 1
        self.objects[key] = (value, self.position)
        if self.lose_next:
            self.lose_next -= 1
            raise StoreError("the answer was lost", step=Step.STORE)
        return self.position

    async def delete(self, key: str) -> None:
        """Delete an object."""
        self._check()
        self.objects.pop(key, None)

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return a page of two of the objects of a kind after a key."""
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
        if self.down:
            raise StoreError("down", step=Step.STORE, outcome=Outcome.NOT_RUN)

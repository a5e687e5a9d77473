"""Tell which software versions may have served, pure functions over what was registered."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class VersionHistory:
    """Hold when each software version of each service was last registered, and since when."""

    observed_since: float | None = None
    last_seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def observe(self, versions: Iterable[tuple[str, str]], now: float) -> None:
        """Record the services and software versions that are registered now."""
        if self.observed_since is None:
            self.observed_since = now
        for service_and_version in versions:
            self.last_seen[service_and_version] = now

    def only_version(self, service: str, now: float, period_s: float) -> str | None:
        """Return the only software version of a service in a past period, or None.

        It is None as well if the period began before the first observation.
        """
        if self.observed_since is None or now - self.observed_since < period_s:
            return None
        versions = [
            version
            for (name, version), seen_at in self.last_seen.items()
            if name == service and now - seen_at <= period_s
        ]
        return versions[0] if len(versions) == 1 else None

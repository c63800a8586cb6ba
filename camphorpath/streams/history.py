"""Which software versions of a service were registered lately."""

from collections.abc import Iterable

import attrs


@attrs.define
class VersionHistory:
    """When each software version of each service was last registered, on the lease clock."""

    _last_seen: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def record(self, service: str, software_version: str, seen_at: float) -> None:
        """Record that an upstream of a version was registered at an instant."""
        key = service, software_version
        self._last_seen[key] = max(seen_at, self._last_seen.get(key, seen_at))

    def list_since(self, service: str, since: float) -> frozenset[str]:
        """Return the versions of a service that were registered at or after an instant."""
        return frozenset(
            software_version
            for (name, software_version), seen_at in self._last_seen.items()
            if name == service and seen_at >= since
        )

    def is_mixed(self, service: str, since: float) -> bool:
        """Return whether several versions of a service were registered since an instant."""
        return len(self.list_since(service, since)) > 1

    def list_services(self) -> frozenset[str]:
        """Return the services of which a version is known."""
        return frozenset(service for service, _software_version in self._last_seen)

    def list_last_seen(self) -> dict[tuple[str, str], float]:
        """Return when each version was last registered, by service and version."""
        return dict(self._last_seen)

    def expire(self, before: float) -> None:
        """Forget the versions that were last registered before an instant."""
        for key, seen_at in list(self._last_seen.items()):
            if seen_at < before:
                self._last_seen.pop(key)

    def forget(self, pairs: Iterable[tuple[str, str]], before: float) -> None:
        """Forget those of some versions that were last registered before an instant."""
        for key in pairs:
            if self._last_seen.get(key, before) < before:
                self._last_seen.pop(key)

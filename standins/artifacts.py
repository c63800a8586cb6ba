"""What an engine stand-in has loaded, its role, and the lagging reports about both."""

import time
from typing import Any

import attrs

from .loads import LoadHistory

ArtifactKey = tuple[str, str]


@attrs.define
class Artifacts:
    """Loaded versions by kind and name; a load takes `load_s`, a report is `lag_s` old."""

    incarnation: str
    load_s: float = 0
    lag_s: float = 0
    role: str = 'mixed'
    loaded: dict[ArtifactKey, str] = attrs.field(factory=dict)
    loads_started: list[str] = attrs.field(factory=list)
    _loading: dict[ArtifactKey, tuple[float, str]] = attrs.field(factory=dict)
    _reports: LoadHistory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reports = LoadHistory(self.lag_s)
        self._record(stale=False)

    def apply(self, kind: str, details: dict[str, str], *, stale: bool) -> None:
        """Carry out an order; one whose effect is there or under way changes nothing."""
        if kind == 'change_role':
            self.role = details.get('role', self.role)
        elif kind.startswith('load_') and 'name' in details:
            self._start(details.get('kind', 'model'), details['name'], details.get('version', ''))
        self._finish_loads(stale=stale)
        self._record(stale=stale)

    def read(self, *, stale: bool) -> dict[str, Any]:
        """Return the report; `stale` freezes it."""
        self._finish_loads(stale=stale)
        now = time.time()
        return {**self._reports.read(stale=stale), 'now': now}

    def _start(self, kind: str, name: str, version: str) -> None:
        key = kind, name
        _, started = self._loading.get(key, (0, None))
        if version in {started, self.loaded.get(key)}:
            return
        self._loading[key] = time.time() + self.load_s, version
        self.loads_started.append(f'{name}@{version}')

    def _finish_loads(self, *, stale: bool) -> None:
        due = [key for key, (until, _) in self._loading.items() if until <= time.time()]
        for key in due:
            self.loaded[key] = self._loading.pop(key)[1]
        if due:
            self._record(stale=stale)

    def _record(self, *, stale: bool) -> None:
        versions = {key: version for key, (_, version) in self._loading.items()}
        report = {
            'incarnation': self.incarnation,
            'role': self.role,
            'artifacts': _list_artifacts(self.loaded),
            'loading': _list_artifacts(versions),
        }
        self._reports.record(report, stale=stale)


def _list_artifacts(versions: dict[ArtifactKey, str]) -> list[dict[str, str]]:
    return [
        {'kind': kind, 'name': name, 'version': version}
        for (kind, name), version in sorted(versions.items())
    ]

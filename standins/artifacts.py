"""Artifacts loaded by an engine stand-in, its role, and the delayed reports about both."""

import time
from typing import Any

import attrs

from .report_history import ReportHistory

ArtifactKey = tuple[str, str]


@attrs.define
class Artifacts:
    """Loaded versions by kind and name; loading takes `load_s`, and reports are `lag_s` old."""

    incarnation: str
    load_s: float = 0
    lag_s: float = 0
    role: str = 'mixed'
    loaded: dict[ArtifactKey, str] = attrs.field(factory=dict)
    loads_started: list[str] = attrs.field(factory=list)
    _loading: dict[ArtifactKey, tuple[float, str]] = attrs.field(factory=dict)
    _reports: ReportHistory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reports = ReportHistory(self.lag_s)
        self._record_report(stale=False)

    def apply_order(self, kind: str, details: dict[str, str], *, stale: bool) -> None:
        """Carry out an order; no effect if what it asks for is done or in progress."""
        if kind == 'change_role':
            self.role = details.get('role', self.role)
        elif kind.startswith('load_') and 'name' in details:
            self._start_load(
                details.get('kind', 'model'), details['name'], details.get('version', '')
            )
        self._finish_loads(stale=stale)
        self._record_report(stale=stale)

    def read(self, *, stale: bool) -> dict[str, Any]:
        """Return the report of `lag_s` ago and the time `now`; `stale` freezes the report."""
        self._finish_loads(stale=stale)
        now = time.time()
        return {**self._reports.read(stale=stale), 'now': now}

    def _start_load(self, kind: str, name: str, version: str) -> None:
        key = kind, name
        _, version_loading = self._loading.get(key, (0, None))
        if version in {version_loading, self.loaded.get(key)}:
            return
        self._loading[key] = time.time() + self.load_s, version
        self.loads_started.append(f'{name}@{version}')

    def _finish_loads(self, *, stale: bool) -> None:
        finished = [key for key, (due_at, _) in self._loading.items() if due_at <= time.time()]
        for key in finished:
            self.loaded[key] = self._loading.pop(key)[1]
        if finished:
            self._record_report(stale=stale)

    def _record_report(self, *, stale: bool) -> None:
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

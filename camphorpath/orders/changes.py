"""Computes the changes that bring an engine to the configuration of its pool."""

from collections.abc import Iterator

import attrs

from ..schema import camphorpath_pb2 as pb
from ..upstreams import EngineState


@attrs.frozen
class Change:
    """A single change that an engine needs to reach the desired state; `size` is in bytes.

    `label` identifies the change within one incarnation of the engine.
    """

    kind: str
    label: str
    details: dict[str, str]
    size: int = 0


def find_changes(state: EngineState, pool: pb.Pool) -> list[Change]:
    """Return the missing loads in the order of the configuration, then a change of role.

    Artifacts that the configuration does not name stay loaded.
    """
    changes = [
        _make_load_change(state, artifact) for artifact in iterate_missing_artifacts(state, pool)
    ]
    if state.role != pool.role:
        changes.append(Change('change_role', f'role:{pool.role}', {'role': pool.role}))
    return changes


def iterate_missing_artifacts(state: EngineState, pool: pb.Pool) -> Iterator[pb.Artifact]:
    """Yield the artifacts of a pool that an engine has not loaded in the desired version."""
    for artifact in pool.artifacts:
        if state.loaded.get((artifact.kind, artifact.name)) != artifact.version:
            yield artifact


def _make_load_change(state: EngineState, artifact: pb.Artifact) -> Change:
    is_loaded = (artifact.kind, artifact.name) in state.loaded
    kind = 'load_version' if is_loaded else f'load_{artifact.kind}'
    details = {'kind': artifact.kind, 'name': artifact.name, 'version': artifact.version}
    if artifact.kind == 'model':
        details['model'] = artifact.name
    label = f'{artifact.kind}:{artifact.name}@{artifact.version}'
    return Change(kind, label, details, artifact.size)

"""Tells the other daemons, by datagram, of software versions that no registered upstream has.

The messages are announcements: daemons of older builds find no changes in them.
"""

from typing import Protocol

import attrs

from ..cluster.heartbeats import HeartbeatSocket
from ..schema import camphorpath_pb2 as pb
from .state import DaemonState
from .stream_queries import is_name


class ShareVersion(Protocol):
    """Tells the other daemons that a stream begins at a version."""

    def __call__(self, service: str, software_version: str, *, is_written: bool) -> None:
        """Send a service and a version, and whether the store holds its row."""


def share_nothing(_service: str, _software_version: str, *, is_written: bool) -> None:
    """Tell nobody; for a daemon without peers."""


@attrs.frozen
class VersionNews:
    """Sends and decodes announcements of versions at which streams begin."""

    state: DaemonState
    heartbeats: HeartbeatSocket

    def send(self, service: str, software_version: str, *, is_written: bool) -> None:
        """Tell all daemons that a stream begins at a version, and whether its row is written."""
        version = pb.BegunVersion(
            service=service, software_version=software_version, is_written=is_written
        )
        announcement = self.state.make_announcement(
            pb.SharedState(begun_versions=[version]), self.state.rows.upstreams_revision
        )
        self.heartbeats.send(announcement, self.state.members.hosts)


def list_begun_versions(heartbeat: pb.EdgeHeartbeat) -> list[pb.BegunVersion]:
    """Return the versions in an announcement, without odd ones."""
    return [
        version
        for version in heartbeat.news.begun_versions
        if is_name(version.service)
        and (not version.software_version or is_name(version.software_version))
    ]

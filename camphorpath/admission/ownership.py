"""The daemon that owns each service, recomputed only when the membership changes."""

from typing import Any

import attrs

from ..schema import camphorpath_pb2 as pb


@attrs.define
class Ownership:
    """The owners of services by rendezvous hashing over the members at the last refresh."""

    membership: Any
    # All inputs of the choice. Without `serving`, daemons that start at different times would keep
    # different owners forever.
    _members: frozenset[tuple[str, bool, bool]] = frozenset()
    _owners: dict[str, pb.MemberInfo] = attrs.field(factory=dict)

    def refresh(self) -> None:
        """Apply the current membership."""
        members = frozenset(
            (info.incarnation, info.stopping, info.serving) for info in self.membership.live()
        )
        if members != self._members:
            self._members = members
            self._owners.clear()

    def find_owner(self, service: str) -> pb.MemberInfo:
        """Return the member that owns a service."""
        found = self._owners.get(service)
        if found is None:
            found = self.membership.choose_owner(service)
            self._owners[service] = found
        return found

    def is_owned_here(self, service: str) -> bool:
        """Return whether this daemon owns the service."""
        return self.find_owner(service).incarnation == self.membership.incarnation

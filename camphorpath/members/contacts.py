"""Last state of each other member and the time of its last message."""

import collections
import math

from attrs import define, field

from ..schema import camphorpath_pb2 as pb

# Replaced incarnations that are kept so that their late messages can be ignored.
MAX_REPLACED_COUNT = 4096


@define
class Contact:
    """An incarnation at an address; instants in seconds on the lease clock.

    `answered_at` is the instant at which the last answered heartbeat was sent: the answer is no
    older than that, while a received heartbeat may have waited in a buffer while this process was
    suspended. `heard_at` is the later of `answered_at` and the receipt of the last heartbeat.
    """

    info: pb.MemberInfo
    heard_at: float = -math.inf
    answered_at: float = -math.inf
    is_live: bool = False


@define
class Contacts:
    """Contacts by the address of their peer server."""

    by_address: dict[str, Contact] = field(factory=dict)
    _replaced: collections.OrderedDict[str, None] = field(factory=collections.OrderedDict)

    def is_outdated(self, info: pb.MemberInfo) -> bool:
        """Tell whether the message is older than one already received from the member."""
        if info.incarnation in self._replaced:
            return True
        known = self.by_address.get(info.peers_address)
        if known is None or known.info.incarnation != info.incarnation:
            return False
        if known.info.stopping and not info.stopping:
            return True
        return known.info.version > info.version

    def record(self, info: pb.MemberInfo) -> tuple[Contact, Contact | None]:
        """Store the state of a member; returns its contact and the one that it replaced."""
        known = self.by_address.get(info.peers_address)
        if known is not None and known.info.incarnation == info.incarnation:
            known.info = info
            return known, None
        contact = Contact(info)
        self.by_address[info.peers_address] = contact
        if known is not None:
            self.mark_replaced(known.info.incarnation)
        return contact, known

    def mark_replaced(self, incarnation: str) -> None:
        """Ignore further messages of the incarnation."""
        self._replaced[incarnation] = None
        if len(self._replaced) > MAX_REPLACED_COUNT:
            self._replaced.popitem(last=False)

    def clear_times(self) -> None:
        """Treat every contact as never heard."""
        for contact in self.by_address.values():
            contact.heard_at = -math.inf
            contact.answered_at = -math.inf

"""The owner's side of the stream from one home daemon."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..schema import camphorpath_pb2 as pb

if TYPE_CHECKING:
    from .owner import AdmissionOwner


@attrs.define(eq=False)
class HomeSession:
    """The stream of one home daemon; `services` are those for which it has registered requests.

    `last_message_at` is the send time of its newest message, on its own lease clock.
    """

    owner: 'AdmissionOwner'
    info: pb.MemberInfo
    send: Callable[[pb.AdmissionDown], None]
    is_open: bool = True
    services: frozenset[str] = frozenset()
    last_message_at: float = 0

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the home daemon."""
        return self.info.incarnation

    def handle(self, message: pb.AdmissionUp) -> None:
        """Handle a message of the home daemon; a closed session ignores it."""
        if not self.is_open:
            return
        self.owner.events.clock.observe(message.stamp)
        self.last_message_at = message.sent_at or self.last_message_at
        match message.WhichOneof('message'):
            case 'enqueue':
                self.owner.enqueue(self, message.enqueue)
            case 'release':
                self.owner.release(message.release)
            case 'withdraw':
                self.owner.withdraw(self, message.withdraw)
            case 'registered':
                self.owner.register(self, message.registered)
            case 'lost':
                self.owner.record_lost(message.lost)

    def close(self) -> None:
        """Close the session; waiting requests are removed, running ones remain counted."""
        if self.is_open:
            self.is_open = False
            self.owner.close_session(self)

    def grant(self, granted: pb.Granted) -> None:
        """Send a grant with `last_message_at`, by which the home daemon bounds its age."""
        granted.heard_at = self.last_message_at
        self._send(pb.AdmissionDown(granted=granted))

    def refuse(self, refused: pb.Refused) -> None:
        """Send a refusal."""
        self._send(pb.AdmissionDown(refused=refused))

    def preempt(self, request_id: str) -> None:
        """Order the home daemon to stop a running request."""
        self._send(pb.AdmissionDown(preempt=request_id))

    def send_not_owner(self, service: str) -> None:
        """Notify the home daemon that this daemon does not own the service."""
        self.services = self.services - {service}
        self._send(pb.AdmissionDown(not_owner=service))

    def _send(self, message: pb.AdmissionDown) -> None:
        message.stamp = self.owner.events.clock.stamp()
        self.send(message)

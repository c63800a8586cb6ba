"""Client of admission: requests slots for this daemon's calls from the owners of their services.

This daemon is the home daemon of the requests: it accepted them and alone may dispatch them.
"""

import collections
import types
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from ..clocks import read_lease_clock
from ..errors import Refusal
from ..events import EventLog
from ..schema import camphorpath_pb2 as pb
from .link import LINK_ERRORS, Link
from .ownership import Ownership
from .records import Grant, Ticket

REFRESH_INTERVAL_S = 0.1
RECONNECT_DELAY_S = 0.2
# A grant expires this long after the newest message of this daemon that the owner had received,
# since either daemon may have been suspended or the network may have delayed the grant. With a load
# report of up to `load_limit` (3 s), 0.5 s remain for the lag of reports until the 5 s after which
# a leaving upstream must receive nothing.
MAX_GRANT_AGE_S = 1.5
# A client with waiting requests sends at least this often, so that new grants do not appear old.
KEEPALIVE_INTERVAL_S = 0.5
# At the deadline the client waits this long for the owner's answer, which is more specific.
ANSWER_GRACE_S = 0.25
DEFAULT_HTTP_STATUS = 503
# Exceeds the number of requests on all upstreams that crash within a minute.
MAX_LOST_COUNT = 200
CRASHES_REASON = 'crashes_upstreams'
HTTP_STATUSES = types.MappingProxyType(
    {'deadline_exceeded': 504, CRASHES_REASON: 422, 'unknown_pool': 400}
)


@attrs.define(eq=False)
class _ClientRequest:
    """A request between acquire and release.

    `link` is the stream on which it is registered, `deadline` is on the lease clock.
    """

    ticket: Ticket
    deadline: float
    link: Link | None = None
    grant: Grant | None = None
    refusal: Refusal | None = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def service(self) -> str:
        return self.ticket.enqueue.service


class AdmissionClient:
    """The waiting and running requests of this daemon, and its streams to the owners."""

    def __init__(
        self,
        membership: Any,
        owner: Any,
        events: EventLog,
        clock: Callable[[], float] = read_lease_clock,
    ) -> None:
        """Use `owner`, the AdmissionOwner of this daemon, for services that it owns itself."""
        self._membership = membership
        self._owner = owner
        self._events = events
        self._clock = clock
        self._ownership = Ownership(membership)
        self._requests: dict[str, _ClientRequest] = {}
        self._links: dict[str, Link] = {}
        # By service and digest: requests whose connection to the upstream was lost, and whether an
        # owner has refused them because of crashes.
        self._lost: collections.OrderedDict[tuple[str, str], bool] = collections.OrderedDict()

    async def acquire(self, ticket: Ticket) -> Grant:
        """Wait for a grant and return it while it is valid.

        Raises Refusal. The request is withdrawn if the call is cancelled.
        """
        request_id = ticket.enqueue.request_id
        assert request_id not in self._requests, request_id
        request = _ClientRequest(ticket, self._clock() + ticket.enqueue.time_left)
        self._requests[request_id] = request
        self._send_if_registered(request)
        try:
            return await self._wait(request)
        except BaseException:
            self._withdraw(request)
            raise

    def release(self, ticket: Ticket, release: pb.Release) -> None:
        """Release the slot and report the result of the call to the owner."""
        self._record_result(ticket.enqueue, release.result)
        request = self._requests.pop(ticket.enqueue.request_id, None)
        if request is not None and request.link is not None:
            self._post(request.link, pb.AdmissionUp(release=release))

    async def run(self) -> None:
        """Keep one stream open to each owner and follow ownership changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_links(tasks)
                for link in self._links.values():
                    if link.is_open and link.registered != link.services:
                        self._register(link)
                self._send_keepalives()
                await anyio.sleep(REFRESH_INTERVAL_S)

    def _record_result(self, enqueue: pb.Enqueue, result: int) -> None:
        """Record requests that may have crashed an upstream, to report them to new owners."""
        key = enqueue.service, enqueue.digest
        if result == pb.Release.UPSTREAM_LOST and enqueue.digest:
            self._record_lost(key, is_refused=self._lost.get(key, False))
        elif result == pb.Release.COMPLETE:
            self._lost.pop(key, None)

    def _record_lost(self, key: tuple[str, str], *, is_refused: bool) -> None:
        self._lost[key] = is_refused
        self._lost.move_to_end(key)
        if len(self._lost) > MAX_LOST_COUNT:
            self._lost.popitem(last=False)

    async def _wait(self, request: _ClientRequest) -> Grant:
        while True:
            remaining = request.deadline + ANSWER_GRACE_S - self._clock()
            with anyio.move_on_after(max(remaining, 0)):
                await request.answered.wait()
            if request.refusal is not None:
                raise request.refusal
            if request.grant is None:
                raise Refusal(
                    'admission_unavailable',
                    'no admission owner answered before the deadline',
                    retry_after_s=1,
                    step='admission',
                )
            if self._clock() < request.grant.expires_at:
                return request.grant
            # The grant expired on its way. Meanwhile the owner may have counted the slot as lost or
            # have learned that the upstream is leaving.
            self._return_grant(request)
            request.answered = anyio.Event()
            self._send_if_registered(request)

    def _withdraw(self, request: _ClientRequest) -> None:
        request_id = request.ticket.enqueue.request_id
        if self._requests.get(request_id) is request:
            self._requests.pop(request_id)
        if request.grant is not None:
            self._return_grant(request)
        elif request.link is not None and request.refusal is None:
            self._post(request.link, pb.AdmissionUp(withdraw=request_id))

    def _return_grant(self, request: _ClientRequest) -> None:
        if request.link is not None:
            self._return_unused(request.link, request.grant.request_id, request.grant.upstream)
        request.link = None
        request.grant = None

    def _return_unused(self, link: Link, request_id: str, upstream: str) -> None:
        release = pb.Release(request_id=request_id, result=pb.Release.NOT_SENT, upstream=upstream)
        self._post(link, pb.AdmissionUp(release=release))

    def _post(self, link: Link, message: pb.AdmissionUp) -> None:
        if link.is_open:
            message.stamp = self._events.clock.stamp()
            message.sent_at = self._clock()
            link.posted_at = message.sent_at
            link.post(message)

    def _send_keepalives(self) -> None:
        """Send the current time on idle links on which requests wait for a grant."""
        oldest = self._clock() - KEEPALIVE_INTERVAL_S
        idle_links = [
            link for link in self._links.values() if link.is_open and link.posted_at <= oldest
        ]
        if not idle_links:
            return
        waiting = {
            request.link
            for request in self._requests.values()
            if request.grant is None and request.refusal is None
        }
        for link in idle_links:
            if link in waiting:
                self._post(link, pb.AdmissionUp())

    def _send_if_registered(self, request: _ClientRequest) -> None:
        """Send a request to its owner if the service is registered there.

        Otherwise `_register` sends it once the stream is open.
        """
        link = self._links.get(self._ownership.find_owner(request.service).incarnation)
        if link is not None and link.is_open and request.service in link.registered:
            self._send_request(link, request)

    def _send_request(self, link: Link, request: _ClientRequest) -> None:
        now = self._clock()
        elapsed_s = now - (request.deadline - request.ticket.enqueue.time_left)
        enqueue = pb.Enqueue()
        enqueue.CopyFrom(request.ticket.enqueue)
        enqueue.time_left -= elapsed_s
        enqueue.first_token_left -= elapsed_s
        enqueue.running_on = '' if request.grant is None else request.grant.upstream
        request.link = link
        self._post(link, pb.AdmissionUp(enqueue=enqueue))

    def _register(self, link: Link) -> None:
        """Send all requests of the link's services that are not registered on it."""
        lost = [
            pb.LostRequest(service=service, digest=digest, refused=is_refused)
            for (service, digest), is_refused in self._lost.items()
            if service in link.services
        ]
        if lost:
            self._post(link, pb.AdmissionUp(lost=pb.LostRequests(lost=lost)))
        missing = [
            request
            for request in self._requests.values()
            if request.service in link.services
            and request.link is not link
            and request.refusal is None
        ]
        # Running requests go first, so that the owner does not grant their slots to waiting ones.
        for request in sorted(missing, key=lambda request: request.grant is None):
            self._send_request(link, request)
        link.registered = link.services
        registered = pb.Registered(services=sorted(link.services))
        self._post(link, pb.AdmissionUp(registered=registered))

    def _update_links(self, tasks: TaskGroup) -> None:
        self._ownership.refresh()
        wanted: dict[str, set[str]] = {}
        for service in self._membership.fleet.services:
            owner = self._ownership.find_owner(service.name)
            wanted.setdefault(owner.incarnation, set()).add(service.name)
            if owner.incarnation not in self._links:
                link = Link(owner)
                self._links[owner.incarnation] = link
                tasks.start_soon(self._run_link, link)
        for incarnation, link in list(self._links.items()):
            services = frozenset(wanted.get(incarnation, ()))
            for service in link.services - services:
                self._detach_service(link, service)
            link.services = services
            if not link.services:
                self._links.pop(incarnation)
                link.close()

    async def _run_link(self, link: Link) -> None:
        while link.is_wanted:
            # grpclib may cancel the task of a stream in a way that anyio cannot tell from its own
            # cancellation. Each stream has its own task and group, so that nothing else is stopped.
            async with anyio.create_task_group() as group:
                link.scope = group.cancel_scope
                group.start_soon(self._serve_link, link)
            self._detach_link(link)
            if link.is_wanted:
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _serve_link(self, link: Link) -> None:
        def on_open() -> None:
            self._register(link)

        try:
            if link.info.incarnation == self._membership.incarnation:
                await link.serve_local(self._membership, self._owner, on_open, self._receive)
            else:
                await link.serve_remote(self._membership, on_open, self._receive)
        except* LINK_ERRORS:
            # The owner stopped or is unreachable; the membership determines the next one.
            link.is_open = False

    def _detach_link(self, link: Link) -> None:
        link.is_open = False
        link.registered = frozenset()
        for request in self._requests.values():
            if request.link is link:
                request.link = None

    def _receive(self, link: Link, message: pb.AdmissionDown) -> None:
        self._events.clock.observe(message.stamp)
        match message.WhichOneof('message'):
            case 'granted':
                self._apply_grant(link, message.granted)
            case 'refused':
                self._apply_refusal(link, message.refused)
            case 'preempt':
                request = self._requests.get(message.preempt)
                if request is not None and request.link is link and request.grant is not None:
                    request.ticket.on_preempt()
            case 'not_owner':
                self._detach_service(link, message.not_owner)

    def _apply_grant(self, link: Link, granted: pb.Granted) -> None:
        request = self._requests.get(granted.request_id)
        if request is None or request.link is not link:
            # The request was withdrawn or is registered with another owner, whose grant counts.
            self._return_unused(link, granted.request_id, granted.upstream)
            return
        if request.grant is not None or request.refusal is not None:
            return
        expires_at = self._clock() + granted.valid_for
        # Owners of versions before this field send 0.
        if granted.heard_at:
            expires_at = min(expires_at, granted.heard_at + MAX_GRANT_AGE_S)
        request.grant = Grant(
            granted.request_id,
            granted.upstream,
            granted.upstream_url,
            granted.zone,
            expires_at,
        )
        request.answered.set()

    def _apply_refusal(self, link: Link, refused: pb.Refused) -> None:
        request = self._requests.get(refused.request_id)
        if request is None or request.link is not link or request.grant is not None:
            return
        if refused.reason == CRASHES_REASON:
            self._record_lost((request.service, request.ticket.enqueue.digest), is_refused=True)
        request.refusal = Refusal(
            refused.reason,
            refused.text,
            status=HTTP_STATUSES.get(refused.reason, DEFAULT_HTTP_STATUS),
            retry_after_s=refused.retry_after or None,
            step='admission',
            peer=link.info.name,
        )
        request.answered.set()

    def _detach_service(self, link: Link, service: str) -> None:
        """Unregister the requests of a service from a link; `run` registers them with the owner."""
        link.registered -= {service}
        for request in self._requests.values():
            if request.service == service and request.link is link:
                request.link = None

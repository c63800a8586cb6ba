"""Lists the daemon addresses that a caller can use."""

import hashlib

from ..schema import camphorpath_pb2 as pb
from .context import CallContext
from .request_ids import make_prefix


def list_addresses(context: CallContext, zone: str, caller: str) -> list[dict[str, str]]:
    """Return the daemons to use, preferred ones first.

    Sorted by whether they serve, whether they are in the availability zone `zone` (by default that
    of this daemon) and whether they are in its region. Among equals the order depends on a hash of
    the caller and the daemon, which spreads callers over the daemons.
    """
    own = context.membership.info()
    wanted_zone = zone or own.zone
    region = _find_region(context.versions.current.fleet, wanted_zone)
    candidates = [member for member in context.membership.live() if not member.stopping]

    def rank(member: pb.MemberInfo) -> tuple[bool, bool, bool, bytes]:
        return (
            not member.serving,
            member.zone != wanted_zone,
            member.zone not in region,
            hashlib.blake2b(f'{caller}\0{member.incarnation}'.encode(), digest_size=8).digest(),
        )

    return [
        {
            'url': f'http://{member.callers_address}',
            'zone': member.zone,
            'request_id_prefix': make_prefix(member.incarnation),
        }
        for member in sorted(candidates, key=rank)
    ]


def _find_region(fleet: pb.Fleet, zone: str) -> frozenset[str]:
    for region in fleet.regions:
        if zone in region.zones:
            return frozenset(region.zones)
    return frozenset()

"""Rendezvous hashing of keys over members."""

from collections.abc import Iterable

from ..hashing import rendezvous_score
from ..schema import camphorpath_pb2 as pb


def choose_member(key: str, members: Iterable[pb.MemberInfo]) -> pb.MemberInfo:
    """Return the member that owns `key`; `members` must not be empty.

    Serving members that are not stopping come first, then others that are not stopping, then those
    that are stopping. A change of one member moves only the keys that it gains or loses. The score
    depends on the address, so that a restarted daemon owns the same keys as before.
    """
    ranked = sorted(members, key=lambda info: _score(key, info.peers_address))
    for is_candidate in (_is_available, _is_not_stopping, _is_any):
        chosen = [info for info in ranked if is_candidate(info)]
        if chosen:
            return chosen[-1]
    raise ValueError('no members')


def _is_available(info: pb.MemberInfo) -> bool:
    return info.serving and not info.stopping


def _is_not_stopping(info: pb.MemberInfo) -> bool:
    return not info.stopping


def _is_any(info: pb.MemberInfo) -> bool:
    return True


def _score(key: str, address: str) -> tuple[bytes, str]:
    return rendezvous_score(key, address), address

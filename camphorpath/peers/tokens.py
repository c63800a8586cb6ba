"""Shared bearer tokens of peers and operators, read from files."""

import hmac
import pathlib

from ..errors import UserError

AUTHORIZATION_HEADER = 'authorization'
BEARER_PREFIX = 'Bearer '


def read_token(path: str) -> str:
    """Return the token in the file; raises UserError if it is missing, empty or malformed."""
    try:
        token = pathlib.Path(path).read_text('ascii').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'cannot read the token file {path}: {error}', step='token') from error
    if not token:
        raise UserError(f'the token file {path} is empty', step='token')
    if not token.isprintable() or ' ' in token:
        raise UserError(
            f'the token file {path} holds a token with spaces or unprintable characters',
            step='token',
        )
    return token


def make_metadata(token: str) -> dict[str, str]:
    """Return the gRPC metadata that carries the token."""
    return {AUTHORIZATION_HEADER: BEARER_PREFIX + token}


def has_token(metadata, token: str) -> bool:
    """Tell whether the metadata carries the token, by a constant-time comparison."""
    given = metadata.get(AUTHORIZATION_HEADER, '')
    expected = BEARER_PREFIX + token
    return hmac.compare_digest(str(given).encode(), expected.encode())

"""Who a request is: its key, and a fingerprint of what it asks."""

import attrs
import xxhash

from balsamreach.requests.faults import BAD_KEY, RequestFault

_KEY_LIMIT = 255


@attrs.frozen
class RequestId:
    """Identity of a request within its team.

    Parameters
    ----------
    team : str
        Team that calls.
    key : str
        Key that the caller gave or the router minted.
    minted : bool
        Whether the router made the key, so that no other router can have
        seen it.
    fingerprint : str
        Hash of method, path and body.
    """

    team: str
    key: str
    minted: bool
    fingerprint: str


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash that tells apart requests that ask different things."""
    digest = xxhash.xxh3_128(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def check_key(key: str) -> RequestFault | None:
    """Return BAD_KEY for a key that is empty, too long or unprintable."""
    if 0 < len(key) <= _KEY_LIMIT and key.isascii() and key.isprintable():
        return None
    return BAD_KEY.because(f'a key has 1 to {_KEY_LIMIT} printable characters')

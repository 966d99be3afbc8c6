"""Who a request is: its key, and a fingerprint of what it asks."""

import uuid

import attrs
import xxhash

from balsamreach.requests.faults import BAD_KEY, RequestFault

#: Begins the keys that routers mint, and no key that a caller may give.
MINTED_MARK = '~'
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


def mint_key() -> str:
    """Return a new key for a request that came without one."""
    return MINTED_MARK + uuid.uuid4().hex


def check_key(key: str) -> RequestFault | None:
    """Return BAD_KEY for a key that a caller may not give."""
    # Only the router that minted a key knows whether its request ran: it
    # makes no claim for it. If the key came back to another router, a
    # non-idempotent request would run a second time there.
    if key.startswith(MINTED_MARK):
        return BAD_KEY.because(f'keys that begin with {MINTED_MARK} are ours')
    if 0 < len(key) <= _KEY_LIMIT and key.isascii() and key.isprintable():
        return None
    return BAD_KEY.because(f'a key has 1 to {_KEY_LIMIT} printable characters')

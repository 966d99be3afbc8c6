"""Identity of a request: its key and a fingerprint of its content."""

import uuid

import attrs
import xxhash

from balsamreach.requests.faults import BAD_KEY, RequestFault

#: Prefix of keys that routers mint; callers may not use it.
MINTED_KEY_PREFIX = '~'
_MAX_KEY_LENGTH = 255


@attrs.frozen
class RequestId:
    """Identity of a request within its team.

    Parameters
    ----------
    team : str
        The caller's team.
    key : str
        Key from the caller, or minted by the router.
    minted : bool
        Whether this router minted the key, so that no other router can have
        seen it.
    fingerprint : str
        Hash of method, path and body.
    """

    team: str
    key: str
    minted: bool
    fingerprint: str


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash of the parts that distinguish requests."""
    digest = xxhash.xxh3_128(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def mint_key() -> str:
    """Return a new key for a request without one."""
    return MINTED_KEY_PREFIX + uuid.uuid4().hex


def check_key(key: str) -> RequestFault | None:
    """Return BAD_KEY for a key that a caller may not use."""
    # Only the router that minted a key knows whether its request ran: it makes
    # no claim for it. If the key were sent to another router, a non-idempotent
    # request would run a second time there.
    if key.startswith(MINTED_KEY_PREFIX):
        return BAD_KEY.because(
            f'keys that begin with {MINTED_KEY_PREFIX} are reserved'
        )
    if 0 < len(key) <= _MAX_KEY_LENGTH and key.isascii() and key.isprintable():
        return None
    return BAD_KEY.because(
        f'a key has 1 to {_MAX_KEY_LENGTH} printable characters'
    )

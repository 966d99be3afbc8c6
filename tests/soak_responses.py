"""Reads the responses that callers and proxies of the soak receive."""

HEAD_END = b'\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


def is_complete(received: bytes) -> bool:
    """Return whether a response has its end."""
    if HEAD_END not in received:
        return False
    head, body = received.split(HEAD_END, 1)
    for line in head.lower().splitlines():
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return body.endswith(_LAST_CHUNK)

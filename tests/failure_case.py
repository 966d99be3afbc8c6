"""Test case and requests that the golden sessions under failure share."""

import asyncio
import json
import unittest

from tests.deployment import MODEL, request
from tests.failure_rig import Rig
from tests.failure_session import FailureSession
from tests.golden_support import golden

CHAT = 'POST /v1/chat/completions'
CERTIFICATE = 'POST /services/desk/certificate/m-17'


def ask(text: str, words: int = 3, key: str = '', **changes) -> bytes:
    """Return the bytes of a chat request."""
    messages = [{'role': 'user', 'content': f'{text} words={words}'}]
    body = {'model': MODEL, 'messages': messages, 'max_tokens': words}
    headers = {'Idempotency_Key': key} if key else {}
    return request(CHAT, json.dumps(body | changes).encode(), **headers)


def certificate(key: str) -> bytes:
    """Return the bytes of a call that may run at most once."""
    return request(CERTIFICATE, b'{"motor": "m-17"}', Idempotency_Key=key)


class FailureCase(unittest.IsolatedAsyncioTestCase):
    """Compares whole sessions under failure with their golden files."""

    maxDiff = None

    async def asyncSetUp(self) -> None:
        """Run the routers without the event loop's debug mode.

        It keeps a stack for each callback, which makes whole routers slow
        enough to miss their heartbeats on a busy machine.
        """
        asyncio.get_running_loop().set_debug(False)

    async def open(self, rig: Rig, *events: str) -> None:
        """Start all but the routers and begin to write the session down."""
        self.rig = rig
        await rig.open()
        self.addAsyncCleanup(rig.stop)
        self.session = FailureSession(rig, frozenset(events))

    def address(self, number: int) -> str:
        """Return a router's address for callers."""
        return self.rig.routers[number].callers.address

    def check(self, name: str, *logged: dict[str, object]) -> None:
        """Compare the session with its golden file."""
        text = self.session.end(*logged)
        self.assertEqual(text, golden(f'failures/{name}', text))

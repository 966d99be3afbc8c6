"""Base test case and requests of the golden sessions with failures."""

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
    """Return the bytes of a non-idempotent call to the plain service."""
    return request(CERTIFICATE, b'{"motor": "m-17"}', Idempotency_Key=key)


class FailureCase(unittest.IsolatedAsyncioTestCase):
    """Compares sessions with failures to their golden files."""

    maxDiff = None

    async def asyncSetUp(self) -> None:
        """Disable the event loop's debug mode.

        The debug mode records a stack for each callback. On a busy machine
        this slows routers down so much that they miss heartbeats.
        """
        asyncio.get_running_loop().set_debug(False)

    async def open(self, rig: Rig, *events: str) -> None:
        """Start the platform and the targets and begin the session."""
        self.rig = rig
        await rig.open()
        self.addAsyncCleanup(rig.stop)
        self.session = FailureSession(rig, frozenset(events))

    def address(self, number: int) -> str:
        """Return the address on which a router serves callers."""
        return self.rig.routers[number].callers.address

    def check(self, name: str, *logged: dict[str, object]) -> None:
        """End the session and compare it to its golden file."""
        text = self.session.end(*logged)
        self.assertEqual(text, golden(f'failures/{name}', text))

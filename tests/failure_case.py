"""Base test case and requests of the golden sessions with failures."""

import asyncio
import json
import unittest

from tests.deployment import MODEL, request
from tests.failure_deployment import FailureDeployment
from tests.failure_session import FailureSession
from tests.golden_support import golden_text

_CHAT = 'POST /v1/chat/completions'
_CERTIFICATE = 'POST /services/desk/certificate/m-17'


def chat_request(
    text: str, word_count: int = 3, key: str = '', **changes
) -> bytes:
    """Return the bytes of a chat request."""
    messages = [{'role': 'user', 'content': f'{text} words={word_count}'}]
    body = {'model': MODEL, 'messages': messages, 'max_tokens': word_count}
    headers = {'Idempotency_Key': key} if key else {}
    return request(_CHAT, json.dumps(body | changes).encode(), **headers)


def certificate_request(key: str) -> bytes:
    """Return the bytes of a non-idempotent call to the plain service."""
    return request(_CERTIFICATE, b'{"motor": "m-17"}', Idempotency_Key=key)


class FailureCase(unittest.IsolatedAsyncioTestCase):
    """Compares sessions with failures to their golden files."""

    maxDiff = None

    async def asyncSetUp(self) -> None:
        """Disable the event loop's debug mode.

        The debug mode records a stack for each callback. On a busy machine
        this slows routers down so much that they miss heartbeats.
        """
        asyncio.get_running_loop().set_debug(False)

    async def open_session(
        self, deployment: FailureDeployment, *events: str
    ) -> None:
        """Start the platform and the targets and begin the session."""
        self.deployment = deployment
        await deployment.start_standins()
        self.addAsyncCleanup(deployment.stop)
        self.session = FailureSession(deployment, frozenset(events))

    def address(self, number: int) -> str:
        """Return the address on which a router serves callers."""
        return self.deployment.routers[number].callers.address

    def check_session(self, name: str, *logged: dict[str, object]) -> None:
        """End the session and compare it to its golden file."""
        text = self.session.end(*logged)
        self.assertEqual(text, golden_text(f'failures/{name}', text))

"""Tests that a relay router withstands crowds of clients.

Each test starts a router process with the limits of the smallest hosts.
"""

from parameterized import parameterized

from tests.crowds.clients import Crowd
from tests.crowds.relay_case import (
    CALLERS,
    FORWARDING,
    MAX_BODY,
    PATH,
    PEERS,
    READY,
    RelayCrowdCase,
    make_head,
)
from tests.listed_fleet import DESK

#: Seconds that a target takes for a request.
_WORK_S = 0.5
_BLOCK = b'x' * 65536
_BLOCKS = MAX_BODY // len(_BLOCK)
_LARGE = 80
_SMALL_BODY = 100_000


def _with_length(length: int, path: str = PATH) -> bytes:
    return make_head(f'Content-Length: {length}', path=path)


def _chunk(piece: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(piece), piece)


_CHUNKED = make_head('Transfer-Encoding: chunked')
_HUGE_CHUNK = b'%bffffffff\r\n' % _CHUNKED
_ALL_BUT_ONE_BLOCK = _BLOCKS - 1
_CROWDS = {
    'bodies_without_their_last_byte': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY),
        block=_BLOCK,
        blocks=_ALL_BUT_ONE_BLOCK,
        end=_BLOCK[1:],
    ),
    'whole_bodies': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY),
        block=_BLOCK,
        blocks=_BLOCKS,
    ),
    'whole_bodies_in_pieces': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY),
        block=_BLOCK,
        blocks=_BLOCKS,
        pause=0.1,
    ),
    'small_bodies_without_their_last_byte': Crowd(
        connections=1200,
        begin=_with_length(_SMALL_BODY),
        block=b'x' * (_SMALL_BODY - 1),
        blocks=1,
    ),
    'large_chunks_without_the_last': Crowd(
        connections=_LARGE,
        begin=_CHUNKED,
        block=_chunk(_BLOCK),
        blocks=_BLOCKS,
    ),
    'small_chunks_without_the_last': Crowd(
        connections=_LARGE,
        begin=_CHUNKED,
        block=_chunk(b'x') * 1000,
        blocks=40,
    ),
    'chunks_without_end': Crowd(
        connections=_LARGE,
        begin=_CHUNKED,
        block=_chunk(_BLOCK),
        blocks=_BLOCKS * 4,
    ),
    'one_huge_chunk': Crowd(
        connections=_LARGE,
        begin=_HUGE_CHUNK,
        block=_BLOCK,
        blocks=_BLOCKS * 4,
    ),
    'huge_length': Crowd(
        connections=_LARGE,
        begin=_with_length(4 << 30),
        block=_BLOCK,
        blocks=_BLOCKS * 4,
    ),
    'heads_without_end': Crowd(
        connections=2400,
        begin=make_head()[:-2],
        block=b'X-Header: %b\r\n' % (b'x' * 1000),
        blocks=30,
    ),
    'idle_connections': Crowd(connections=3500),
    'requests_behind_another': Crowd(
        connections=_LARGE,
        begin=_with_length(0),
        block=_BLOCK,
        blocks=_BLOCKS,
    ),
}
_PROBE_CROWDS = {
    'bodies_without_their_last_byte': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY, path='/v1/ready'),
        block=_BLOCK,
        blocks=_ALL_BUT_ONE_BLOCK,
        end=_BLOCK[1:],
    ),
    'chunks_without_end': Crowd(
        connections=_LARGE,
        begin=make_head('Transfer-Encoding: chunked', path='/v1/ready'),
        block=_chunk(_BLOCK),
        blocks=_BLOCKS * 4,
    ),
    'idle_connections': Crowd(connections=3500),
}
_FORWARDING_CROWDS = {
    'bodies_without_their_last_byte': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY, path='/v1/forward'),
        block=_BLOCK,
        blocks=_ALL_BUT_ONE_BLOCK,
        end=_BLOCK[1:],
    ),
    'whole_bodies': Crowd(
        connections=_LARGE,
        begin=_with_length(MAX_BODY, path='/v1/forward'),
        block=_BLOCK,
        blocks=_BLOCKS,
    ),
    'chunks_without_end': Crowd(
        connections=_LARGE,
        begin=make_head('Transfer-Encoding: chunked', path='/v1/forward'),
        block=_chunk(_BLOCK),
        blocks=_BLOCKS * 4,
    ),
}
_PEERS_CROWDS = {
    'greetings_without_their_last_byte': Crowd(
        connections=300,
        begin=(len(_BLOCK) * 16).to_bytes(4),
        block=_BLOCK,
        blocks=15,
        end=_BLOCK[1:],
    ),
    'idle_connections': Crowd(connections=3500),
}


class RelayCrowdTest(RelayCrowdCase):
    """Crowds at each listener."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for _ in range(2):
            target = self.fleet.add_target(DESK, 'v1')
            target.work = _WORK_S
        await self.start()

    @parameterized.expand(list(_CROWDS.items()))
    async def test_callers(self, _, crowd):
        """Guards against a router that callers take beyond its host."""
        await self.check_crowd(CALLERS, crowd)

    @parameterized.expand(list(_PROBE_CROWDS.items()))
    async def test_probes(self, _, crowd):
        """Guards against the same by the listener for readiness checks."""
        await self.check_crowd(READY, crowd)

    @parameterized.expand(list(_FORWARDING_CROWDS.items()))
    async def test_forwarding(self, _, crowd):
        """Guards against the same by the listener for other routers."""
        await self.check_crowd(FORWARDING, crowd)

    @parameterized.expand(list(_PEERS_CROWDS.items()))
    async def test_peers(self, _, crowd):
        """Guards against the same by the listener for links of routers."""
        await self.check_crowd(PEERS, crowd)

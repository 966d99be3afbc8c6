"""Measure the CPU that a router spends on its idle peers.

Starts the peer networks of several routers in one process, waits until they
are linked, and divides the CPU time of some seconds among them. Prints one
JSON line.
"""

import argparse
import asyncio
import json
import random
import sys
import time

from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.config.settings import Settings
from balsamreach.daemon.peer_net import make_peer_net
from balsamreach.peers.net import TcpPeerNet
from balsamreach.telemetry.metrics import Metrics

_MAX_WAITS = 30


async def start(number: int, seeds: str) -> TcpPeerNet:
    """Start the peer network of one router."""
    overrides = ('host.zone=zone-a', 'peers.port=0', f'peers.seeds={seeds}')
    cfg = read_settings(None, overrides)
    assert isinstance(cfg, Settings), cfg
    net = make_peer_net(
        cfg,
        f'router-{number:03}',
        SystemClock(),
        random.Random(number),
        Metrics(),
    )
    assert await net.start() is None
    return net


async def run(routers: int, seconds: float) -> dict[str, float]:
    """Return a report with the share of a core that each router uses."""
    nets = [await start(0, '')]
    for number in range(1, routers):
        nets.append(await start(number, nets[0].me.address))
    for _ in range(_MAX_WAITS):
        if all(len(net.neighbours()) == routers - 1 for net in nets):
            break
        await asyncio.sleep(1)
    before = time.process_time()
    await asyncio.sleep(seconds)
    used = time.process_time() - before
    report = {
        'routers': routers,
        'links_each': len(nets[0].neighbours()),
        'cpu_share_each': round(used / seconds / routers, 5),
    }
    await asyncio.gather(*[net.stop() for net in nets])
    return report


def main() -> None:
    """Print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, default=17)
    parser.add_argument('--seconds', type=float, default=10)
    args = parser.parse_args()
    report = json.dumps(asyncio.run(run(args.routers, args.seconds)))
    sys.stdout.write(f'{report}\n')


if __name__ == '__main__':
    main()

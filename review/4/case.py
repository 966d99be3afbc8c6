"""Copies of a crashing request end all workers of a service, over and over."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed2  # noqa: E402

#: Requests that crash their workers. Each is judged by itself: the moment at
#: which a check of a router meets the crashes differs from round to round.
POISONS = tuple(f'/slot/poison-{number}' for number in range(1, 6))
#: Workers of desk-app, one a zone, and the time in which one crashes.
CRASH_S, DOWN_S = 0.03, 3.0
#: Rounds of each request, and the time between two. All workers are back by
#: then.
ROUNDS, GAP_S = 3, 4.5
#: "reaches workers in more than three retries".
MOST_RETRIES = 3


async def play(bed):
    bed.configure()
    bed.sent_by = {}
    for zone in bed2.ZONES:
        await bed.add_worker(
            'desk', zone, slots=6, poison=set(POISONS), crash_s=CRASH_S,
            down_s=DOWN_S)
        await bed.add_router(zone)
    await bed.start_routers()
    await asyncio.sleep(bed2.STABLE_S + 1)
    for number in range(len(POISONS) * ROUNDS):
        path = POISONS[number // ROUNDS]
        # Its callers send it again: three at the same moment, one in each
        # zone; without the disruption one after the other.
        routers = bed.routers
        if not bed2.is_troubled():
            routers = routers[number % 3:][:1]
        opened = [await bed.connect(router) for router in routers]
        await asyncio.sleep(0.2)
        answers = await asyncio.gather(
            *(bed.send(router, 'GET', path, streams=streams)
              for router, streams in zip(routers, opened, strict=True)))
        bed.sent_by |= {one.request_id: one.router for one in answers}
        await asyncio.sleep(GAP_S)
    # A request that harms nobody, to see that the service is back.
    sound = await asyncio.gather(
        *(bed.send(router, 'GET', '/slot/sound') for router in bed.routers))
    print('sound requests at the end:', [one.status for one in sound])
    return judge(bed)


def judge(bed):
    counts = [count_late(bed, path) for path in POISONS]
    print(f'retries that reached workers later than {bed2.STABLE_S:g} s after'
          f' the third crash, sent by machines in touch: {counts};'
          f' the rule allows {MOST_RETRIES} of each request')
    return max(counts) > MOST_RETRIES


def count_late(bed, path):
    arrivals = sorted(
        (one for worker in bed.workers for one in worker.arrivals
         if one['path'] == path and one['ran']),
        key=lambda one: one['at'])
    print(f'{path} reached workers {len(arrivals)} times in all')
    if len(arrivals) < 3:
        return 0
    third = arrivals[2]['at'] + CRASH_S
    late = [
        one for one in arrivals
        if one['at'] > third + bed2.STABLE_S
        and bed.sent_by[one['id']].in_touch(one['at'])
    ]
    for one in late:
        bed.record.add(
            f'LATE: {one["id"]} {path} at worker {one["instance"]} by'
            f' {bed.sent_by[one["id"]].name},'
            f' {one["at"] - third:.1f} s after the third crash')
    return len(late)


if __name__ == '__main__':
    sys.exit(bed2.run_case(play, FOLDER))

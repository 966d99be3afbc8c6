"""Reads the time for which a rejection asks its sender to wait."""

import re
from collections.abc import Mapping

HEADER = 'retry-after'

#: Statuses whose time to come back speaks of whoever rejected.
_REJECTIONS = frozenset((429, 503))
#: Seconds beyond which no target is left alone on its own word: a broken one
#: would be lost for good.
_LONGEST_S = 3600
_SECONDS = re.compile(r'\d{1,12}(?:\.\d{1,12})?')


def read_retry_after(status: int, headers: Mapping[str, str]) -> float:
    """Return for how many seconds the sender wants no requests.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : mapping of str to str
        Its headers, names in lower case.

    Returns
    -------
    float
        The longest of the times given; 0 where the answer is no rejection,
        or gives none in seconds. Dates are no use where clocks differ.
    """
    if status not in _REJECTIONS:
        return 0
    given = map(str.strip, headers.get(HEADER, '').split(','))
    seconds = [float(text) for text in given if _SECONDS.fullmatch(text)]
    return min(max(seconds, default=0), _LONGEST_S)

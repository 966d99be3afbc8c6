"""Parses the header ``Retry-After`` of rejections."""

import re
from collections.abc import Mapping

HEADER = 'retry-after'

#: Statuses with which ``Retry-After`` refers to the sender of the response.
_REJECTION_STATUSES = frozenset((429, 503))
#: Maximum seconds for which a target gets no requests by its own word: a
#: broken target could otherwise keep itself out of use forever.
_MAX_SECONDS = 3600
_SECONDS = re.compile(r'\d{1,12}(?:\.\d{1,12})?')


def read_retry_after(status: int, headers: Mapping[str, str]) -> float:
    """Return the seconds for which a target wants no requests.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : mapping of str to str
        Headers of the response, with names in lower case.

    Returns
    -------
    float
        The longest of the given times, at most 3600; 0 if the response is no
        rejection or has no time in seconds. Dates are ignored, because they
        are useless if clocks differ.
    """
    if status not in _REJECTION_STATUSES:
        return 0
    values = map(str.strip, headers.get(HEADER, '').split(','))
    seconds = [float(text) for text in values if _SECONDS.fullmatch(text)]
    return min(max(seconds, default=0), _MAX_SECONDS)

"""Numbers with units as people write them: durations, sizes, shares."""

import re

from balsamreach.config.faults import BAD_VALUE, ConfigFault

_AMOUNT = re.compile(r'(?P<number>\d+(?:\.\d+)?)\s*(?P<unit>[A-Za-z%]*)')
_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}
_KIB = 1024
_MIB = 1024 * _KIB
_BYTES = {'B': 1, 'KiB': _KIB, 'MiB': _MIB, 'GiB': 1024 * _MIB}
_PERCENT = 100.0
_FLAGS = {'yes': True, 'no': False}


def read_duration(text: str) -> float | ConfigFault:
    """Read a duration such as ``500ms``, ``2s``, ``5m`` or ``1h``.

    Parameters
    ----------
    text : str
        Number and unit.

    Returns
    -------
    float or ConfigFault
        Seconds.
    """
    match = _AMOUNT.fullmatch(text)
    if match is None or match['unit'] not in _SECONDS:
        return BAD_VALUE.because('write a duration like 500ms, 2s, 5m or 1h')
    return float(match['number']) * _SECONDS[match['unit']]


def read_size(text: str) -> int | ConfigFault:
    """Read a size such as ``512B``, ``64KiB`` or ``1MiB``.

    Parameters
    ----------
    text : str
        Number and unit.

    Returns
    -------
    int or ConfigFault
        Bytes.
    """
    match = _AMOUNT.fullmatch(text)
    if match is None or match['unit'] not in _BYTES:
        return BAD_VALUE.because('write a size like 512B, 64KiB or 1MiB')
    return int(float(match['number']) * _BYTES[match['unit']])


def read_share(text: str) -> float | ConfigFault:
    """Read a share between ``0%`` and ``100%``.

    Parameters
    ----------
    text : str
        Number and per cent sign.

    Returns
    -------
    float or ConfigFault
        Fraction from 0 to 1.
    """
    match = _AMOUNT.fullmatch(text)
    if match is None or match['unit'] != '%':
        return BAD_VALUE.because('write a share like 10%')
    share = float(match['number']) / _PERCENT
    if share > 1:
        return BAD_VALUE.because('write a share from 0% to 100%')
    return share


def read_count(text: str) -> int | ConfigFault:
    """Read a whole number that is not negative.

    Parameters
    ----------
    text : str
        Decimal digits.

    Returns
    -------
    int or ConfigFault
        The number.
    """
    if text.isascii() and text.isdigit():
        return int(text)
    return BAD_VALUE.because('write a whole number like 64, without a unit')


def read_flag(text: str) -> bool | ConfigFault:
    """Read ``yes`` or ``no``.

    Parameters
    ----------
    text : str
        The word.

    Returns
    -------
    bool or ConfigFault
        True for ``yes``.
    """
    if text in _FLAGS:
        return _FLAGS[text]
    return BAD_VALUE.because('write yes or no')

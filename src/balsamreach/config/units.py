"""Parsers of durations, sizes, shares, counts and flags."""

import re

from balsamreach.config.faults import BAD_VALUE, ConfigFault

_AMOUNT = re.compile(r'(?P<number>\d+(?:\.\d+)?)\s*(?P<unit>[A-Za-z%]*)')
_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}
_KIB = 1024
_MIB = 1024 * _KIB
_BYTES = {'B': 1, 'KiB': _KIB, 'MiB': _MIB, 'GiB': 1024 * _MIB}
_PERCENT = {'%': 1.0}
_MAX_PERCENT = 100.0
_FLAGS = {'yes': True, 'no': False}


def read_duration(text: str) -> float | ConfigFault:
    """Parse a duration such as ``500ms``, ``2s``, ``5m`` or ``1h``.

    Parameters
    ----------
    text : str
        Number and unit.

    Returns
    -------
    float or ConfigFault
        Seconds.
    """
    return _read_amount(text, _SECONDS, 'a duration like 500ms, 2s, 5m or 1h')


def read_size(text: str) -> int | ConfigFault:
    """Parse a size such as ``512B``, ``64KiB`` or ``1MiB``.

    Parameters
    ----------
    text : str
        Number and unit.

    Returns
    -------
    int or ConfigFault
        Bytes.
    """
    size = _read_amount(text, _BYTES, 'a size like 512B, 64KiB or 1MiB')
    return size if isinstance(size, ConfigFault) else int(size)


def read_share(text: str) -> float | ConfigFault:
    """Parse a share between ``0%`` and ``100%``.

    Parameters
    ----------
    text : str
        Number and percent sign.

    Returns
    -------
    float or ConfigFault
        Fraction from 0 to 1.
    """
    percent = _read_amount(text, _PERCENT, 'a share like 10%')
    if isinstance(percent, ConfigFault):
        return percent
    if percent > _MAX_PERCENT:
        return BAD_VALUE.because('write a share from 0% to 100%')
    return percent / _MAX_PERCENT


def read_count(text: str) -> int | ConfigFault:
    """Parse a non-negative integer.

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
    """Parse a flag.

    Parameters
    ----------
    text : str
        ``yes`` or ``no``.

    Returns
    -------
    bool or ConfigFault
        True for ``yes``.
    """
    if text in _FLAGS:
        return _FLAGS[text]
    return BAD_VALUE.because('write yes or no')


def _read_amount(
    text: str,
    units: dict[str, float],
    form: str,
) -> float | ConfigFault:
    match = _AMOUNT.fullmatch(text)
    if match is None or match['unit'] not in units:
        return BAD_VALUE.because(f'write {form}')
    return float(match['number']) * units[match['unit']]

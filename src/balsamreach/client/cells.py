"""Conversion between fields of table rows and cells of a spreadsheet."""

import json
from decimal import Decimal, InvalidOperation
from typing import Any

#: Spreadsheets evaluate a cell that starts with one of these as a formula.
_FORMULA_STARTS = ('=', '+', '-', '@', '\t', '\r', "'")
_FLAGS = {'true': True, 'false': False}


def format_cell(field: Any) -> str:
    """Convert a field to a cell; an empty list or mapping is an empty cell."""
    if isinstance(field, str):
        # A team named =HYPERLINK(...) must not be evaluated in an operator's
        # spreadsheet; the apostrophe marks the cell as plain text.
        return f"'{field}" if field.startswith(_FORMULA_STARTS) else field
    if field in ([], {}, None):
        return ''
    return json.dumps(field, ensure_ascii=False)


def parse_cell(cell: str, like: Any) -> Any:
    """Convert a cell to a field.

    Parameters
    ----------
    cell : str
        Text of the cell, not empty.
    like : object
        A value of the field's type: text, number, flag, list or mapping.

    Returns
    -------
    object
        The field.

    Raises
    ------
    ValueError
        If the cell can't be converted to that type.
    """
    if isinstance(like, str):
        return cell[1:] if cell.startswith("'") else cell
    if isinstance(like, bool):
        return _read_flag(cell)
    if isinstance(like, (int, float)):
        return _read_number(cell)
    try:
        return json.loads(cell)
    except ValueError:
        raise ValueError('must be JSON, like ["a", "b"]') from None


def _read_flag(cell: str) -> bool:
    # Spreadsheets change true to TRUE.
    flag = _FLAGS.get(cell.strip().lower())
    if flag is None:
        raise ValueError('must be true or false')
    return flag


def _read_number(cell: str) -> int | float:
    # Spreadsheets may write whole numbers with decimals or exponents, and
    # some use a decimal comma.
    try:
        number = Decimal(cell.strip().replace(',', '.'))
    except InvalidOperation:
        raise ValueError('must be a number') from None
    if not number.is_finite():
        raise ValueError('must be a finite number')
    whole = number == number.to_integral_value()
    return int(number) if whole else float(number)

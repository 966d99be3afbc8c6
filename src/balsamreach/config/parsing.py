"""Parsing of INI text that reports all syntax errors at once."""

import configparser

#: Replaces a line whose error has been reported; it parses as a comment.
_IGNORED_LINE = '#'


def parse_ini(
    content: str,
    name: str,
    problems: list[str],
) -> configparser.ConfigParser:
    """Parse INI text and report duplicates and malformed lines.

    Parameters
    ----------
    content : str
        The text of one file.
    name : str
        Name of the file for messages.
    problems : list of str
        One sentence per error is appended to it.

    Returns
    -------
    configparser.ConfigParser
        The sections and keys that could be parsed.
    """
    lines = content.splitlines()
    # The strict parser stops at the first duplicate key. Each duplicate is
    # replaced by a comment and the text parsed again, so that all of them are
    # reported at once and not one per run.
    while True:
        parser = _new_parser(strict=True)
        try:
            parser.read_string('\n'.join(lines), name)
        except configparser.DuplicateOptionError as exc:
            problems.append(
                f'{name}: [{exc.section}] {exc.option}: duplicate key in '
                f'line {exc.lineno}; keep one of them',
            )
            lines[exc.lineno - 1] = _IGNORED_LINE
        except configparser.Error as exc:
            return _parse_leniently(lines, f'{name}: {_explain(exc)}', problems)
        else:
            return parser


def _parse_leniently(
    lines: list[str],
    problem: str,
    problems: list[str],
) -> configparser.ConfigParser:
    problems.append(problem)
    parser = _new_parser(strict=False)
    try:
        parser.read_string('\n'.join(lines))
    except configparser.MissingSectionHeaderError:
        return _new_parser(strict=False)
    except configparser.Error:
        # The strict parser's error has already been reported; this parser
        # holds the rest of the text.
        return parser
    return parser


def _explain(exc: configparser.Error) -> str:
    match exc:
        case configparser.DuplicateSectionError():
            return (
                f'[{exc.section}]: duplicate section in line {exc.lineno}; '
                'put its keys into the first section'
            )
        case configparser.MissingSectionHeaderError():
            return (
                f'line {exc.lineno}: text before any section; start with a '
                'line like [host]'
            )
        case configparser.ParsingError():
            numbers = ', '.join(str(lineno) for lineno, _ in exc.errors)
            return f'line {numbers}: write key = value'
    return str(exc)


def _new_parser(*, strict: bool) -> configparser.ConfigParser:
    # configparser copies the keys of a section named DEFAULT to all others,
    # so one wrong key there would be reported in every section. With an
    # empty name as default section, DEFAULT is reported as unknown instead.
    parser = configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        default_section='',
    )
    parser.optionxform = str
    return parser

"""INI text into a parser, with every flaw of its form noted on the way."""

import configparser

#: Stands for a line that the caller is told about and that is then left out.
_LEFT_OUT = '#'


def parse_ini(
    content: str,
    name: str,
    problems: list[str],
) -> configparser.ConfigParser:
    """Parse INI text and note duplicates and malformed lines.

    Parameters
    ----------
    content : str
        The text of one file.
    name : str
        Name of the file for people.
    problems : list of str
        Receives one sentence per flaw.

    Returns
    -------
    configparser.ConfigParser
        Whatever could be read.
    """
    lines = content.splitlines()
    # The strict parser stops at the first duplicate; each one found is left
    # out and the rest parsed again, or a person would learn of the second
    # only after mending the first.
    while True:
        parser = _new_parser(strict=True)
        try:
            parser.read_string('\n'.join(lines), name)
        except configparser.DuplicateOptionError as exc:
            problems.append(
                f'{name}: [{exc.section}] {exc.option}: duplicate key in '
                f'line {exc.lineno}; keep one of them',
            )
            lines[exc.lineno - 1] = _LEFT_OUT
        except configparser.Error as exc:
            return _parse_loosely(lines, f'{name}: {_explain(exc)}', problems)
        else:
            return parser


def _parse_loosely(
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
        # Malformed lines were explained when the strict parser met them; the
        # rest of the text is in the parser all the same.
        return parser
    return parser


def _explain(exc: configparser.Error) -> str:
    match exc:
        case configparser.DuplicateSectionError():
            return (
                f'[{exc.section}]: duplicate section in line {exc.lineno}; '
                'put its keys into the first'
            )
        case configparser.MissingSectionHeaderError():
            return (
                f'line {exc.lineno}: text before any section; begin with a '
                'line like [host]'
            )
        case configparser.ParsingError():
            numbers = ', '.join(str(lineno) for lineno, _ in exc.errors)
            return f'line {numbers}: write key = value'
    return str(exc)


def _new_parser(*, strict: bool) -> configparser.ConfigParser:
    # A section called DEFAULT would lend its keys to all others, so that one
    # wrong key there shows up in every section; with an impossible name for
    # it the section counts as unknown like any other.
    parser = configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        default_section='',
    )
    parser.optionxform = str
    return parser

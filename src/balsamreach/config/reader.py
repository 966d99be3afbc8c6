"""Reading of settings files, which reports all problems at once."""

import difflib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from balsamreach.config.faults import BAD_SETTINGS, ConfigFault
from balsamreach.config.listeners import (
    Listener,
    check_listeners,
    view_of,
)
from balsamreach.config.parsing import parse_ini
from balsamreach.config.settings import Settings
from balsamreach.config.tls import (
    check_client_files,
    check_listener_files,
    check_mutual_tls,
)

_OVERRIDES = 'override'
#: File with all keys, their defaults and descriptions, in this folder.
_DEFAULTS = 'defaults.ini'
#: Sections of the listeners that the command ``serve`` opens.
_SERVE_LISTENERS = ('callers', 'operators', 'peers')


def read_settings(
    path: str | Path | None,
    overrides: Iterable[str] = (),
) -> Settings | ConfigFault:
    """Read the defaults, a settings file and overrides, in that order.

    Parameters
    ----------
    path : str, Path or None
        Settings file; None for the defaults alone.
    overrides : iterable of str
        Single keys like ``callers.port=0``, which replace those of the file.

    Returns
    -------
    Settings or ConfigFault
        The settings, or a fault that lists all problems.
    """
    problems: list[str] = []
    raw = _RawSettings(str(path or _OVERRIDES), problems)
    raw.merge_file(default_text())
    if path is not None:
        content = _read_file(Path(path))
        # Without the file every key without a default would be reported as
        # well, which would hide the actual problem.
        if isinstance(content, ConfigFault):
            return content
        raw.merge_file(content)
    for override in overrides:
        raw.merge_override(override)
    settings = _build(raw)
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return settings


def check_ports(
    settings: Settings,
    sections: tuple[str, ...] = _SERVE_LISTENERS,
) -> ConfigFault | None:
    """Check that the listeners of a daemon can be bound.

    Parameters
    ----------
    settings : Settings
        Settings whose listeners are not bound yet.
    sections : tuple of str
        Sections of the listeners; by default those of ``serve``.

    Returns
    -------
    ConfigFault or None
        A fault that lists the ports in use and the addresses that don't
        belong to this machine; None if there are none.
    """
    listeners = dict(_listeners(settings))
    return check_listeners({name: listeners[name] for name in sections})


def check_certificates(settings: Settings) -> ConfigFault | None:
    """Check that the PEM files of listeners, platform and targets load.

    Parameters
    ----------
    settings : Settings
        Settings that name the files.

    Returns
    -------
    ConfigFault or None
        A fault that lists the unusable files by section and key; None if
        there are none.
    """
    problems: list[str] = []
    for section, listener in _listeners(settings):
        problems.extend(check_listener_files(section, listener))
    problems.extend(check_mutual_tls('peers', settings.peers))
    problems.extend(_check_client_files(settings))
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return None


def default_text() -> str:
    """Return the text of ``defaults.ini``."""
    return Path(__file__).with_name(_DEFAULTS).read_text(encoding='utf-8')


@attrs.define
class _RawSettings:
    """Unparsed values by section and key, and the problems found so far."""

    name: str
    problems: list[str]
    sections: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def merge_file(self, content: str) -> None:
        """Merge one file; the first one defines the known keys."""
        known = bool(self.sections)
        parser = parse_ini(content, self.name, self.problems)
        for section in parser.sections():
            for name, text in parser.items(section):
                if known:
                    self.replace_known(section, name, text)
                else:
                    self.sections.setdefault(section, {})[name] = text
            if section not in self.sections:
                self._add_unknown_section(section)

    def merge_override(self, override: str) -> None:
        """Merge one override of the form ``section.key=text``."""
        place, equals, text = override.partition('=')
        section, dot, name = place.strip().partition('.')
        if not equals or not dot:
            self.problems.append(
                f'{override}: write an override like callers.port=8080',
            )
            return
        if section not in self.sections:
            self._add_unknown_section(section)
            return
        self.replace_known(section, name, text.strip())

    def replace_known(self, section: str, name: str, text: str) -> None:
        """Replace the value of a key, or report the key as unknown."""
        if section not in self.sections:
            return
        if name not in self.sections[section]:
            hint = _suggest(name, self.sections[section])
            self.add_problem(section, name, f'unknown key; {hint}')
            return
        self.sections[section][name] = text

    def add_problem(self, section: str, name: str, reason: str) -> None:
        """Add a problem with one key."""
        self.problems.append(f'{self.name}: [{section}] {name}: {reason}')

    def _add_unknown_section(self, section: str) -> None:
        hint = _suggest(section, self.sections)
        self.problems.append(
            f'{self.name}: [{section}]: unknown section; {hint}',
        )


def _suggest(word: str, known: Iterable[str]) -> str:
    names = sorted(known)
    close = difflib.get_close_matches(word, names, 1)
    if close:
        return f'did you mean {close[0]}?'
    listed = ', '.join(names)
    return f'write one of {listed}'


def _read_file(path: Path) -> str | ConfigFault:
    try:
        return path.read_text(encoding='utf-8')
    except UnicodeDecodeError:
        problem = f'{path}: not UTF-8; save the file as UTF-8 text'
    except OSError as exc:
        problem = f'{path}: {exc.strerror}; name a readable file'
    return BAD_SETTINGS.listing((problem,))


def _build(raw: _RawSettings) -> Settings | None:
    sections: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        sections[field.name] = _build_section(field, raw)
    if raw.problems:
        return None
    address = sections['host'].address
    for name, section in sections.items():
        if isinstance(section, Listener) and not section.address:
            sections[name] = attrs.evolve(section, address=address)
    return Settings(**sections)


def _build_section(field: attrs.Attribute, raw: _RawSettings) -> Any:
    read = {}
    for name, text in raw.sections[field.name].items():
        view = view_of(getattr(attrs.fields(field.type), name))
        outcome = view(text)
        if isinstance(outcome, ConfigFault):
            raw.add_problem(
                field.name, name, f'{text!r} is refused; {outcome.reason}'
            )
        read[name] = outcome
    return field.type(**read)


def _listeners(settings: Settings) -> Iterator[tuple[str, Listener]]:
    for field in attrs.fields(Settings):
        section = getattr(settings, field.name)
        if isinstance(section, Listener):
            yield field.name, section


def _check_client_files(settings: Settings) -> Iterator[str]:
    for section, prefix in (('platform', 'tls'), ('routing', 'target_tls')):
        keys = {
            f'{prefix}_{name}': getattr(
                getattr(settings, section), f'{prefix}_{name}'
            )
            for name in ('ca', 'certificate', 'key')
        }
        yield from check_client_files(section, keys)

"""Reading a settings file into settings objects, all problems at once."""

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
from balsamreach.config.tls import check_client, check_listener, check_mutual

_OVERRIDES = 'override'
#: The documented file of all keys, beside this module.
_DEFAULTS = 'defaults.ini'
#: Sections of the listeners that ``serve`` opens.
_SERVED = ('callers', 'operators', 'peers')


def read_settings(
    path: str | Path | None,
    overrides: Iterable[str] = (),
) -> Settings | ConfigFault:
    """Read defaults, a settings file and overrides, in that order.

    Parameters
    ----------
    path : str, Path or None
        Settings file; None for the defaults alone.
    overrides : iterable of str
        Single keys like ``callers.port=0`` that win over the file.

    Returns
    -------
    Settings or ConfigFault
        The settings, or every problem found in the file.
    """
    problems: list[str] = []
    texts = _Texts(str(path or _OVERRIDES), problems)
    texts.take(default_text())
    if path is not None:
        content = _read_file(Path(path))
        # Without the file every key that has no default would be reported
        # as well, and hide the one line that helps.
        if isinstance(content, ConfigFault):
            return content
        texts.take(content)
    for override in overrides:
        texts.override(override)
    settings = _build(texts)
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return settings


def check_ports(
    settings: Settings,
    sections: tuple[str, ...] = _SERVED,
) -> ConfigFault | None:
    """Try to bind the listeners that a daemon opens.

    Parameters
    ----------
    settings : Settings
        Settings whose listeners are not yet bound.
    sections : tuple of str
        Sections of the listeners; by default those of ``serve``.

    Returns
    -------
    ConfigFault or None
        Every port that is in use or address that isn't this machine's.
    """
    listeners = dict(_listeners(settings))
    return check_listeners({name: listeners[name] for name in sections})


def check_certificates(settings: Settings) -> ConfigFault | None:
    """Try to load the PEM files of listeners and for platform and targets.

    Parameters
    ----------
    settings : Settings
        Settings that name the files.

    Returns
    -------
    ConfigFault or None
        Every file that can't be used, by section and key.
    """
    problems: list[str] = []
    for section, listener in _listeners(settings):
        problems.extend(check_listener(section, listener))
    problems.extend(check_mutual('peers', settings.peers))
    problems.extend(_check_clients(settings))
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return None


def default_text() -> str:
    """Return the documented file of all keys and their defaults."""
    return Path(__file__).with_name(_DEFAULTS).read_text(encoding='utf-8')


@attrs.define
class _Texts:
    """Texts by section and key, and the problems met on the way."""

    name: str
    problems: list[str]
    sections: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def take(self, content: str) -> None:
        """Lay the keys of one file over those already here."""
        known = bool(self.sections)
        parser = parse_ini(content, self.name, self.problems)
        for section in parser.sections():
            for name, text in parser.items(section):
                if known:
                    self.replace(section, name, text)
                else:
                    self.sections.setdefault(section, {})[name] = text
            if section not in self.sections:
                self._complain_section(section)

    def override(self, override: str) -> None:
        """Lay one key of the form ``section.key=text`` over the rest."""
        place, equals, text = override.partition('=')
        section, dot, name = place.strip().partition('.')
        if not equals or not dot:
            self.problems.append(
                f'{override}: write an override like callers.port=8080',
            )
            return
        if section not in self.sections:
            self._complain_section(section)
            return
        self.replace(section, name, text.strip())

    def replace(self, section: str, name: str, text: str) -> None:
        """Put a text in the place of the default of a known key."""
        if section not in self.sections:
            return
        if name not in self.sections[section]:
            hint = _hint(name, self.sections[section])
            self.complain(section, name, f'unknown key; {hint}')
            return
        self.sections[section][name] = text

    def complain(self, section: str, name: str, reason: str) -> None:
        """Note a problem with one key."""
        self.problems.append(f'{self.name}: [{section}] {name}: {reason}')

    def _complain_section(self, section: str) -> None:
        hint = _hint(section, self.sections)
        self.problems.append(
            f'{self.name}: [{section}]: unknown section; {hint}',
        )


def _hint(word: str, known: Iterable[str]) -> str:
    names = sorted(known)
    close = difflib.get_close_matches(word, names, 1)
    if close:
        return f'did you mean {close[0]}?'
    names_text = ', '.join(names)
    return f'write one of {names_text}'


def _read_file(path: Path) -> str | ConfigFault:
    try:
        return path.read_text(encoding='utf-8')
    except UnicodeDecodeError:
        problem = f'{path}: not UTF-8; save the file as UTF-8 text'
    except OSError as exc:
        problem = f'{path}: {exc.strerror}; name a readable file'
    return BAD_SETTINGS.listing((problem,))


def _build(texts: _Texts) -> Settings | None:
    sections: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        sections[field.name] = _build_section(field, texts)
    if texts.problems:
        return None
    address = sections['host'].address
    for name, section in sections.items():
        if isinstance(section, Listener) and not section.address:
            sections[name] = attrs.evolve(section, address=address)
    return Settings(**sections)


def _build_section(field: attrs.Attribute, texts: _Texts) -> Any:
    read = {}
    for name, text in texts.sections[field.name].items():
        view = view_of(getattr(attrs.fields(field.type), name))
        outcome = view(text)
        if isinstance(outcome, ConfigFault):
            texts.complain(
                field.name, name, f'{text!r} is refused; {outcome.reason}'
            )
        read[name] = outcome
    return field.type(**read)


def _listeners(settings: Settings) -> Iterator[tuple[str, Listener]]:
    for field in attrs.fields(Settings):
        section = getattr(settings, field.name)
        if isinstance(section, Listener):
            yield field.name, section


def _check_clients(settings: Settings) -> Iterator[str]:
    for section, prefix in (('platform', 'tls'), ('routing', 'target_tls')):
        keys = {
            f'{prefix}_{name}': getattr(
                getattr(settings, section), f'{prefix}_{name}'
            )
            for name in ('ca', 'certificate', 'key')
        }
        yield from check_client(section, keys)

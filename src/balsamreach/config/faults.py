"""Sentinel errors of the settings layer."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class ConfigFault(Fault):
    """An error in the settings.

    Parameters
    ----------
    problems : tuple of str
        All problems found, one sentence each; the reason joins them.
    """

    problems: tuple[str, ...] = attrs.field(default=(), eq=False)

    def listing(self, problems: tuple[str, ...]) -> 'ConfigFault':
        """Return a copy of this fault with a list of problems.

        Parameters
        ----------
        problems : tuple of str
            One sentence per problem, each naming the section and key.

        Returns
        -------
        ConfigFault
            A fault that compares equal to this sentinel.
        """
        reason = '\n'.join(problems)
        return attrs.evolve(self, reason=reason, problems=problems)

    def in_file(self, path: str | None) -> 'ConfigFault':
        """Return a copy of this fault whose problems name the settings file.

        Parameters
        ----------
        path : str or None
            Path of the file; None if the settings are not from a file.
        """
        if path is None:
            return self
        return self.listing(
            tuple(f'{path}: {problem}' for problem in self.problems),
        )


#: A single value is invalid; the reason says what to write instead.
BAD_VALUE = ConfigFault('config_bad_value')
#: The settings are invalid; ``problems`` lists the reasons.
BAD_SETTINGS = ConfigFault('config_bad_settings')
#: A configured listener can't be bound.
BAD_LISTENER = ConfigFault('config_bad_listener')

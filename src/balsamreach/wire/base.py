"""Base of the typed messages of the inner protocol."""

import attrs


class Message:
    """Base of all messages."""

    def __repr__(self) -> str:
        """Return the class and its fields, as attrs would.

        Made by attrs for each class, it would take a third of the time in
        which the messages are imported, at each start of a router.
        """
        fields = ', '.join(
            f'{field.name}={getattr(self, field.name)!r}'
            for field in attrs.fields(type(self))
        )
        return f'{type(self).__name__}({fields})'

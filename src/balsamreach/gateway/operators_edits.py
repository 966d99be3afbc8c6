"""Parser of the edits that operators send."""

import uuid
from typing import Any

import attrs

from balsamreach.table.edits import Accepted, Edit
from balsamreach.table.faults import BAD_ROW, TableFault

_AUTHOR_LIMIT = 64
_DIGEST_CHARS = 8
_MAX_TOP_UP = 2**53
_EDIT_KEYS = frozenset(
    ('edit_id', 'author', 'key', 'version', 'fields', 'top_up', 'delete'),
)


@attrs.frozen
class EditParser:
    """Parses the edits of one request.

    Parameters
    ----------
    key_digest : str
        Digest of the operator key in the request.
    """

    key_digest: str

    def parse(self, key: str, edit: Any) -> Edit | TableFault:
        """Parse and validate one edit.

        Parameters
        ----------
        key : str
            Full key of the row.
        edit : object
            Decoded JSON that the operator sent.

        Returns
        -------
        Edit or TableFault
            The edit, or BAD_ROW with what is wrong.
        """
        error = _find_error(edit)
        if error:
            return BAD_ROW.because(error)
        return Edit(
            edit_id=edit.get('edit_id') or uuid.uuid4().hex,
            author=self._author(edit.get('author', 'operator')),
            key=key,
            version=edit.get('version', -1),
            fields=None if edit.get('delete') else edit.get('fields'),
            top_up=edit.get('top_up', 0),
        )

    def _author(self, name: str) -> str:
        # The name is chosen freely by the sender. Only the key identifies
        # the operator, so the history shows which key was used.
        return f'{name} (key {self.key_digest[:_DIGEST_CHARS]})'


def describe_outcome(edit: Edit, outcome: Accepted) -> dict[str, Any]:
    """Return the JSON object for an accepted edit."""
    return {'edit_id': edit.edit_id, **attrs.asdict(outcome)}


def _find_error(edit: Any) -> str:
    if not isinstance(edit, dict):
        return 'an edit must be a JSON object'
    unknown = sorted(set(edit) - _EDIT_KEYS)
    if unknown:
        listed = ', '.join(unknown)
        return f'{listed}: unknown key in an edit'
    return _metadata_error(edit) or _change_error(edit)


def _metadata_error(edit: dict[str, Any]) -> str:
    if not isinstance(edit.get('edit_id', ''), str):
        return 'edit_id: must be a text'
    author = edit.get('author', '')
    if not isinstance(author, str) or len(author) > _AUTHOR_LIMIT:
        return 'author: must be a text of at most 64 characters'
    return '' if author.isprintable() else 'author: must be printable'


def _change_error(edit: dict[str, Any]) -> str:
    changes = [
        edit.get('fields') is not None,
        edit.get('delete', False),
        'top_up' in edit,
    ]
    if sum(map(bool, changes)) != 1:
        return 'send exactly one of fields, top_up and "delete": true'
    if 'fields' in edit and not isinstance(edit['fields'], dict):
        return 'fields: must be a JSON object'
    if 'top_up' in edit:
        top_up = edit['top_up']
        is_valid = _is_int(top_up) and 0 < top_up <= _MAX_TOP_UP
        return '' if is_valid else 'top_up: write a whole number, 1 to 2**53'
    if not _is_int(edit.get('version')) or edit['version'] < -1:
        return 'version: must be the version you read, or 0 for a new row'
    return ''


def _is_int(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)

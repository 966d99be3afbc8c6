"""Parser of the edits that operators send."""

import uuid
from typing import Any

import attrs

from balsamreach.table.edits import Accepted, Edit
from balsamreach.table.faults import BAD_ROW, TableFault

_AUTHOR_LIMIT = 64
_DIGEST_SHOWN = 8
_LARGEST = 2**53
_KNOWN = frozenset(
    ('edit_id', 'author', 'key', 'version', 'fields', 'top_up', 'delete'),
)


@attrs.frozen
class Reading:
    """Parses the edits of one request.

    Parameters
    ----------
    key_digest : str
        Digest of the operator key in the request.
    """

    key_digest: str

    def read(self, key: str, sent: Any) -> Edit | TableFault:
        """Parse and validate one edit.

        Parameters
        ----------
        key : str
            Full key of the row.
        sent : object
            Decoded JSON that the operator sent.

        Returns
        -------
        Edit or TableFault
            The edit, or BAD_ROW with what is wrong.
        """
        flaw = _flaw(sent)
        if flaw:
            return BAD_ROW.because(flaw)
        return Edit(
            edit_id=sent.get('edit_id') or uuid.uuid4().hex,
            author=self._author(sent.get('author', 'operator')),
            key=key,
            version=sent.get('version', -1),
            fields=None if sent.get('delete') else sent.get('fields'),
            top_up=sent.get('top_up', 0),
        )

    def _author(self, name: str) -> str:
        # The name is chosen freely by the sender. Only the key identifies
        # the operator, so the history shows which key was used.
        return f'{name} (key {self.key_digest[:_DIGEST_SHOWN]})'


def describe_outcome(edit: Edit, outcome: Accepted) -> dict[str, Any]:
    """Return the JSON object for an accepted edit."""
    return {'edit_id': edit.edit_id, **attrs.asdict(outcome)}


def _flaw(sent: Any) -> str:
    if not isinstance(sent, dict):
        return 'an edit must be a JSON object'
    unknown = sorted(set(sent) - _KNOWN)
    if unknown:
        listed = ', '.join(unknown)
        return f'{listed}: unknown key in an edit'
    return _flaw_in_marks(sent) or _flaw_in_change(sent)


def _flaw_in_marks(sent: dict[str, Any]) -> str:
    if not isinstance(sent.get('edit_id', ''), str):
        return 'edit_id: must be a string'
    author = sent.get('author', '')
    if not isinstance(author, str) or len(author) > _AUTHOR_LIMIT:
        return 'author: must be a string of at most 64 characters'
    return '' if author.isprintable() else 'author: must be printable'


def _flaw_in_change(sent: dict[str, Any]) -> str:
    wanted = [
        sent.get('fields') is not None,
        sent.get('delete', False),
        'top_up' in sent,
    ]
    if sum(map(bool, wanted)) != 1:
        return 'send exactly one of fields, top_up and "delete": true'
    if 'fields' in sent and not isinstance(sent['fields'], dict):
        return 'fields: must be a JSON object'
    if 'top_up' in sent:
        top_up = sent['top_up']
        whole = _is_whole(top_up) and 0 < top_up <= _LARGEST
        return '' if whole else 'top_up: must be an integer from 1 to 2**53'
    if not _is_whole(sent.get('version')) or sent['version'] < -1:
        return 'version: must be the version you read, or 0 for a new row'
    return ''


def _is_whole(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)

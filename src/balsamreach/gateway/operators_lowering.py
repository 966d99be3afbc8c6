"""Edits that lower a budget, for which routers return idle tokens."""

from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.recalling import Outstanding
from balsamreach.gateway.operators_base import OperatorContext
from balsamreach.table import faults
from balsamreach.table.editor import Outcome
from balsamreach.table.edits import Edit

_MAX_LISTED_HOSTS = 5


async def apply_edit(context: OperatorContext, edit: Edit) -> Outcome:
    """Apply an edit; recall tokens and retry if the budget would be too low.

    Parameters
    ----------
    context : OperatorContext
        Provides the editor and the budgets.
    edit : Edit
        The change.

    Returns
    -------
    Accepted or TableFault
        The reason of BELOW_TAKEN says how many tokens are still held, by
        which hosts, and what to do.
    """
    outcome = await context.editor.apply(edit)
    if outcome != faults.BELOW_TAKEN:
        return outcome
    team = edit.key.rpartition('/')[-1]
    out = await context.budgets.maintenance.recaller.recall(team)
    if isinstance(out, BudgetFault):
        return outcome
    again = await context.editor.apply(edit)
    if again != faults.BELOW_TAKEN:
        return again
    return again.because(_explain(team, out)).with_row(again.row)


def _explain(team: str, out: Outstanding) -> str:
    sentences = [
        f'{team} can be lowered to {out.taken} now: {out.spent} are spent',
    ]
    hosts = [f'{holding.held} at {holding.host}' for holding in out.holdings]
    if hosts:
        listed = ', '.join(hosts[:_MAX_LISTED_HOSTS])
        more = len(hosts) - _MAX_LISTED_HOSTS
        rest = f' and {more} more' if more > 0 else ''
        sentences.append(
            f'held for requests in progress: {listed}{rest}; '
            'ask again when these have ended',
        )
    if out.elsewhere:
        sentences.append(
            f'{out.elsewhere} at routers that are gone or did not answer; '
            'see `balsamreach audit`, and `balsamreach budget release` for '
            'those that are gone',
        )
    return '; '.join(sentences)

"""Edits that lower a budget, for which routers hand back what they hold."""

from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.recalling import Outstanding
from balsamreach.gateway.operators_base import OperatorContext
from balsamreach.table import faults
from balsamreach.table.editor import Outcome
from balsamreach.table.edits import Edit

_MOST_HOSTS = 5


async def apply_edit(context: OperatorContext, edit: Edit) -> Outcome:
    """Apply an edit; if it lowers a budget too far, call tokens back first.

    Parameters
    ----------
    context : OperatorContext
        Editor and budgets.
    edit : Edit
        The change.

    Returns
    -------
    Accepted or TableFault
        BELOW_TAKEN tells what is out, where, and what to do.
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
    return again.because(_explain(team, out)).against(again.row)


def _explain(team: str, out: Outstanding) -> str:
    said = [
        f'{team} can be lowered to {out.taken} now: {out.spent} are spent',
    ]
    hosts = [f'{one.held} at {one.host}' for one in out.holdings]
    if hosts:
        shown = ', '.join(hosts[:_MOST_HOSTS])
        more = len(hosts) - _MOST_HOSTS
        rest = f' and {more} more' if more > 0 else ''
        said.append(
            f'held for requests in progress: {shown}{rest}; '
            'ask again when these have ended',
        )
    if out.elsewhere:
        said.append(
            f'{out.elsewhere} at routers that are gone or did not answer; '
            'see `balsamreach audit`, and `balsamreach budget release` for '
            'those that are gone',
        )
    return '; '.join(said)

"""Handler of the list of models."""

from http import HTTPStatus

from balsamreach.gateway.caller_handler import CallerHandler
from balsamreach.gateway.refusals import Refusal
from balsamreach.table.rows import TeamRow


class ModelsHandler(CallerHandler):
    """``GET /v1/models`` and ``GET /v1/models/<name>``."""

    kind = 'models'

    def get(self, name: str | None = None) -> None:
        """Send the models that the team may use, or one of them."""
        team = self.authenticate()
        if isinstance(team, Refusal):
            self.refuse(team)
            return
        models = [_describe(model) for model in self._model_names(team)]
        if name is None:
            self.finish({'object': 'list', 'data': models})
            return
        for model in models:
            if model['id'] == name:
                self.finish(model)
                return
        self.refuse(
            Refusal(
                HTTPStatus.NOT_FOUND,
                'unknown_model',
                f'no model {name!r} is open to this team',
                relies_on_table=True,
            )
        )

    def _model_names(self, team: TeamRow) -> tuple[str, ...]:
        names = self.context.view.models()
        if team.models:
            return tuple(name for name in names if name in team.models)
        return names


def _describe(model: str) -> dict[str, object]:
    return {
        'id': model,
        'object': 'model',
        'created': 0,
        'owned_by': 'balsamreach',
    }

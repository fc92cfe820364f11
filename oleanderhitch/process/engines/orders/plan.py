"""Choose the engine that should load another model next.

The load of a model is the number of engines that its demand would keep busy divided by
the number of engines that serve it.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from math import inf

from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ModelName

# A model with a lower load needs no further engine.
TARGET_LOAD = 0.8
# The load of the model that gets an engine must exceed, by this factor, the load that
# the engine's present model will have without it. Small changes of demand then cause no
# reassignments, and a reassignment is never reversed under the same demand.
IMPROVEMENT_FACTOR_MIN = 1.25


class AssignedEngine(Value, frozen=True):
    """An engine with the model that it has loaded or was ordered to load.

    `models` are the models that it may load.
    """

    endpoint: EndpointId
    models: tuple[ModelName, ...]
    model: ModelName
    may_change: bool


def find_reassignment(
    engines: Sequence[AssignedEngine], demand: Mapping[ModelName, float]
) -> tuple[EndpointId, ModelName] | None:
    """Return an engine for the model with the highest load that can get one.

    The result is None if no reassignment improves the load enough.
    """
    n_engines_by_model = Counter(engine.model for engine in engines)
    loads = {
        model: _get_load(n_engines_needed, n_engines_by_model[model])
        for model, n_engines_needed in demand.items()
    }
    candidates = _group_candidates(engines, demand, n_engines_by_model)
    for model in sorted(loads, key=lambda model: (-loads[model], model)):
        if loads[model] <= TARGET_LOAD:
            return None
        for remaining_load, candidate_engines in candidates:
            if remaining_load * IMPROVEMENT_FACTOR_MIN >= loads[model]:
                break
            endpoint = _find_engine_declaring(candidate_engines, model)
            if endpoint is not None:
                return endpoint, model
    return None


def _group_candidates(
    engines: Sequence[AssignedEngine],
    demand: Mapping[ModelName, float],
    n_engines_by_model: Counter[ModelName],
) -> list[tuple[float, list[AssignedEngine]]]:
    """Return the reassignable engines of each model, lowest load first.

    The load is the one that the model has with one engine less.
    """
    groups: dict[ModelName, list[AssignedEngine]] = {}
    for engine in engines:
        if engine.may_change:
            groups.setdefault(engine.model, []).append(engine)
    candidates = [
        (_get_load(demand.get(model, 0.0), n_engines_by_model[model] - 1), group)
        for model, group in groups.items()
    ]
    return sorted(
        candidates, key=lambda candidate: (candidate[0], candidate[1][0].endpoint)
    )


def _find_engine_declaring(
    engines: Sequence[AssignedEngine], model: ModelName
) -> EndpointId | None:
    for engine in engines:
        if engine.model != model and model in engine.models:
            return engine.endpoint
    return None


def _get_load(n_engines_needed: float, n_engines: int) -> float:
    if n_engines_needed <= 0:
        return 0.0
    return n_engines_needed / n_engines if n_engines else inf

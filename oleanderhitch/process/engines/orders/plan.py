"""Choose the engine that should load another model next."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from oleanderhitch.version.ids import EndpointId, ModelName

# A model whose engines are less busy needs no further one.
TARGET_LOAD = 0.8
# A move must improve by this factor, so that small changes of demand cause no
# loads; the reverse of a move that was worth it is then never worth it.
IMPROVEMENT_FACTOR_MIN = 1.25


@dataclass(frozen=True, slots=True)
class AssignedEngine:
    """Hold an engine with the model that it has or will have."""

    endpoint: EndpointId
    models: tuple[ModelName, ...]
    model: ModelName
    may_change: bool


def find_reassignment(
    engines: Sequence[AssignedEngine], demand: Mapping[ModelName, float]
) -> tuple[EndpointId, ModelName] | None:
    """Return the load that helps the busiest model, if any is worth it."""
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
    """Return the engines by their model, with the load that a loss leaves."""
    groups: dict[ModelName, list[AssignedEngine]] = {}
    for engine in engines:
        if engine.may_change:
            groups.setdefault(engine.model, []).append(engine)
    candidates = [
        (_get_load(demand.get(model, 0.0), n_engines_by_model[model] - 1), group)
        for model, group in groups.items()
    ]
    return sorted(candidates, key=lambda donor: (donor[0], donor[1][0].endpoint))


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

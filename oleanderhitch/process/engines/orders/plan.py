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
IMPROVEMENT = 1.25


@dataclass(frozen=True, slots=True)
class PlannedEngine:
    """Hold an engine with the model that it has or will have."""

    endpoint: EndpointId
    models: tuple[ModelName, ...]
    model: ModelName
    may_change: bool


def find_move(
    engines: Sequence[PlannedEngine], demand: Mapping[ModelName, float]
) -> tuple[EndpointId, ModelName] | None:
    """Return the load that helps the busiest model, if any is worth it."""
    supply = Counter(engine.model for engine in engines)
    loads = {
        model: _get_load(needed, supply[model]) for model, needed in demand.items()
    }
    donors = _group_donors(engines, demand, supply)
    for model in sorted(loads, key=lambda model: (-loads[model], model)):
        if loads[model] <= TARGET_LOAD:
            return None
        for left, engines_of_donor in donors:
            if left * IMPROVEMENT >= loads[model]:
                break
            endpoint = _find_declaring(engines_of_donor, model)
            if endpoint is not None:
                return endpoint, model
    return None


def _group_donors(
    engines: Sequence[PlannedEngine],
    demand: Mapping[ModelName, float],
    supply: Counter[ModelName],
) -> list[tuple[float, list[PlannedEngine]]]:
    """Return the engines by their model, with the load that a loss leaves."""
    groups: dict[ModelName, list[PlannedEngine]] = {}
    for engine in engines:
        if engine.may_change:
            groups.setdefault(engine.model, []).append(engine)
    donors = [
        (_get_load(demand.get(model, 0.0), supply[model] - 1), group)
        for model, group in groups.items()
    ]
    return sorted(donors, key=lambda donor: (donor[0], donor[1][0].endpoint))


def _find_declaring(
    engines: Sequence[PlannedEngine], model: ModelName
) -> EndpointId | None:
    for engine in engines:
        if engine.model != model and model in engine.models:
            return engine.endpoint
    return None


def _get_load(needed: float, n_engines: int) -> float:
    if needed <= 0:
        return 0.0
    return needed / n_engines if n_engines else inf

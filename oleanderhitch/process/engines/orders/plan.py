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
    for model in sorted(loads, key=lambda model: (-loads[model], model)):
        if loads[model] <= TARGET_LOAD:
            return None
        donor = _find_donor(engines, demand, supply, model)
        if donor is None:
            continue
        left = _get_load(demand.get(donor.model, 0.0), supply[donor.model] - 1)
        if left * IMPROVEMENT < loads[model]:
            return donor.endpoint, model
    return None


def _find_donor(
    engines: Sequence[PlannedEngine],
    demand: Mapping[ModelName, float],
    supply: Counter[ModelName],
    model: ModelName,
) -> PlannedEngine | None:
    candidates = [
        engine
        for engine in engines
        if engine.may_change and engine.model != model and model in engine.models
    ]
    return min(
        candidates,
        key=lambda engine: (
            _get_load(demand.get(engine.model, 0.0), supply[engine.model] - 1),
            engine.endpoint,
        ),
        default=None,
    )


def _get_load(needed: float, n_engines: int) -> float:
    if needed <= 0:
        return 0.0
    return needed / n_engines if n_engines else inf

"""Explain whether a call would be admitted, on a copy of the state of the intake.

Answers an operator who asks why calls are refused. The admission itself is run, on a
copy of the counts that it changes.
"""

from copy import deepcopy
from datetime import datetime

from msgspec.structs import replace

from oleanderhitch.process.explaining.messages import make_fact
from oleanderhitch.process.explaining.states import FactKind
from oleanderhitch.process.intake.core import IntakeState, admit

# The task takes it from here, so that it also handles the message below.
from oleanderhitch.process.intake.core import handle as handle
from oleanderhitch.process.intake.messages import (
    CallExplained,
    ExplainCall,
    IncomingCall,
    SendReply,
)
from oleanderhitch.version.ids import NO_VERSION


@handle.register
def _(message: ExplainCall, state: IntakeState, now: datetime) -> list[object]:
    return [SendReply(message.reply_address, explain(message.call, state, now))]


def explain(call: IncomingCall, state: IntakeState, now: datetime) -> CallExplained:
    """Return what would happen to a call now; the state stays as it is."""
    copied = replace(state, admission=deepcopy(state.admission))
    configuration = state.configuration
    return CallExplained(
        admit(call, copied, now),
        NO_VERSION if configuration is None else configuration.version,
        (
            make_fact(FactKind.CONFIGURATION, state.configured_at, now),
            make_fact(FactKind.OWNERSHIP, state.viewed_at, now),
        ),
    )

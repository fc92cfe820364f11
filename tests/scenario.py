"""Run test scenarios from text files.

A line consists of a verb, arguments and key=value options. Comments begin with # and
describe the failure that the scenario guards against. Each test suite implements its
verbs as functions.
"""

import shlex
from collections.abc import Callable, Mapping
from pathlib import Path

Verb = Callable[..., None]


class ScenarioError(AssertionError):
    """A step of a scenario failed; the message has its file and line."""


def run_scenario(path: Path, verbs: Mapping[str, Verb]) -> None:
    """Run the steps of a scenario; raise ScenarioError at the first failure."""
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        words = shlex.split(line, comments=True)
        if not words:
            continue
        verb = verbs.get(words[0])
        if verb is None:
            raise ScenarioError(f"{path.name}:{number}: unknown verb {words[0]!r}")
        options = dict(word.split("=", 1) for word in words[1:] if "=" in word)
        try:
            verb(*[word for word in words[1:] if "=" not in word], **options)
        except AssertionError as error:
            raise ScenarioError(f"{path.name}:{number}: {line}: {error}") from error

"""Run scripted scenarios written in a small test language.

A scenario is a text file. A line is a verb, then words and key=value pairs; a
line that begins with # is a comment and says which failure the scenario guards
against. Each suite gives the meaning of its verbs as functions.
"""

import shlex
from collections.abc import Callable, Mapping
from pathlib import Path

Verb = Callable[..., None]


class ScenarioError(AssertionError):
    """Signal a step that failed, with its file and line."""


def run_scenario(path: Path, verbs: Mapping[str, Verb]) -> None:
    """Run each line of a scenario; raise ScenarioError at the first that fails."""
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

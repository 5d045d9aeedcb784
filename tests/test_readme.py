"""The README's example runs as it stands."""

from pathlib import Path


def test_the_readmes_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    example = text.split("```python\n")[1].split("```")[0]
    exec(compile(example, "README.md", "exec"), {})

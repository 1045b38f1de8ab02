"""Holds docs/operate/runbook.md to the code: every log line stands on the page, and no line that is gone.

usage: runbook_test.py

A log line is known by the constant texts in its source. The page has one row a line, whose first cell
quotes such texts in backticks; `...` stands for what varies.
"""

import re
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUNBOOK = ROOT / "docs" / "operate" / "runbook.md"
# What the program is made of; the testbed and the simulation log nothing that operators read.
FOLDERS = (
    "connection_pool",
    "dispatch",
    "frontend",
    "group",
    "group_runtime",
    "hot_restart",
    "lease",
    "net",
    "node",
    "route_announcement",
    "store",
)
# Calls that write a line of the log, or a part of one that says what happened.
LOG_CALL = re.compile(
    r"\b(?:log_?|complain\w*|report_storage\w*|lines_\.push_back|log_lines_\.push_back"
    r"|print_log_line|std::fprintf)\("
)
STRING = re.compile(r'"((?:[^"\\]|\\.)*)"')
# Shorter texts are units, separators and names.
MIN_TEXT = 8
# What joins the parts of a line.
PUNCTUATION = " ;:,."
# A conversion of printf; what varies in its place is `...` on the page.
CONVERSION = re.compile(r"%[-+0-9.]*(?:l|ll|z)?[sdufx]")


def arguments_of(text: str, start: int) -> str:
    """The text from `start`, behind an opening parenthesis, to its closing one."""
    depth, position = 1, start
    while depth > 0 and position < len(text):
        quoted = STRING.match(text, position)
        if quoted:
            position = quoted.end()
            continue
        depth += {"(": 1, ")": -1}.get(text[position], 0)
        position += 1
    return text[start:position]


def constant_texts(arguments: str) -> list[str]:
    """The texts of a call that tell its line from others."""
    texts = []
    for literal in STRING.findall(arguments):
        literal = literal.replace("\\n", "").replace('\\"', '"')
        texts += [part.strip(PUNCTUATION) for part in CONVERSION.split(literal)]
    return [text for text in texts if len(text) >= MIN_TEXT]


def log_lines() -> dict[str, list[str]]:
    """Where a log line is written -> its constant texts."""
    found = {}
    for folder in FOLDERS:
        for path in sorted((ROOT / "src" / folder).rglob("*.cc")):
            text = path.read_text(encoding="utf-8")
            for call in LOG_CALL.finditer(text):
                texts = constant_texts(arguments_of(text, call.end()))
                line = text.count("\n", 0, call.start()) + 1
                if texts:
                    found[f"{path.relative_to(ROOT)}:{line}"] = texts
    return found


def quoted_lines() -> list[str]:
    """The first cell of each row of the page's tables, where it quotes a line."""
    cells = []
    for row in RUNBOOK.read_text(encoding="utf-8").splitlines():
        match = re.match(r"\| `([^`]+)` \|", row)
        if match:
            cells.append(match.group(1))
    return cells


def source_text() -> str:
    """All string literals of the program's sources, adjacent ones joined."""
    texts = []
    for folder in FOLDERS + ("settings", "recovery"):
        for path in sorted((ROOT / "src" / folder).rglob("*.[ch]*")):
            source = re.sub(r'"\s*\n\s*"', "", path.read_text(encoding="utf-8"))
            texts += [literal.replace('\\"', '"') for literal in STRING.findall(source)]
    return "\n".join(texts)


class RunbookTest(unittest.TestCase):
    """The page and the sources, read as text."""

    def test_every_log_line_of_the_program_stands_on_the_page(self) -> None:
        page = "\n".join(quoted_lines())
        lines = log_lines()
        self.assertGreater(len(lines), 20, "log calls are not found any more")
        for where, texts in lines.items():
            with self.subTest(where=where):
                self.assertTrue(any(text in page for text in texts), f"not on the page: {texts}")

    def test_every_line_on_the_page_stands_in_the_code(self) -> None:
        source = source_text()
        rows = quoted_lines()
        self.assertGreater(len(rows), 20)
        for row in rows:
            parts = [part.strip(PUNCTUATION) for part in row.split("...")]
            for part in (part for part in parts if len(part) >= MIN_TEXT):
                with self.subTest(row=row):
                    self.assertTrue(part in source, f"not in the code: {part}")


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])

"""Run the commands that the operators' pages show."""

import os
import re
import shlex
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.fakes.fleet import ROOT, Fleet, example_config, shift_ports

COMMAND = re.compile(r"^    \$ acaciarill (.+)$", re.MULTILINE)


class OperatorsPagesTest(unittest.TestCase):
    """Find every command line and expect it to succeed."""

    def test_every_command_on_the_pages_works(self) -> None:
        pages = sorted((ROOT / "docs" / "operators").glob("*.md"))
        with tempfile.TemporaryDirectory(prefix="acaciarill-test-") as name:
            folder = Path(name)
            fleet = Fleet(example_config("almaty"), ["almaty-1", "almaty-2"], folder)
            self.addCleanup(fleet.stop)
            (folder / "examples").mkdir()
            for part in ("almaty", "cwmdu"):
                text = shift_ports(example_config(part), fleet.base_port)
                (folder / "examples" / f"{part}.toml").write_text(text)
            environment = os.environ | {
                "ACACIARILL_DAEMON": fleet.daemons[0].operators,
                "PYTHONPATH": str(ROOT),
            }
            ran = 0
            for page in pages:
                for command in COMMAND.findall(page.read_text()):
                    done = subprocess.run(
                        [sys.executable, "-m", "acaciarill", *shlex.split(command)],
                        capture_output=True,
                        text=True,
                        cwd=folder,
                        env=environment,
                    )
                    with self.subTest(page=page.name, command=command):
                        self.assertEqual(done.returncode, 0, done.stderr)
                    ran += 1
            fleet.stop()
        self.assertGreater(ran, 8)

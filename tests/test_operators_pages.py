"""Run the commands shown in the operators' documentation."""

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
    """Run every command line of the documentation on a real fleet."""

    def test_documented_commands_succeed(self) -> None:
        pages = sorted((ROOT / "docs" / "operators").glob("*.md"))
        with tempfile.TemporaryDirectory(prefix="acaciarill-test-") as folder_name:
            folder = Path(folder_name)
            fleet = Fleet(example_config("almaty"), ["almaty-1", "almaty-2"], folder)
            self.addCleanup(fleet.stop)
            (folder / "examples").mkdir()
            for example_name in ("almaty", "cwmdu"):
                text = shift_ports(example_config(example_name), fleet.base_port)
                (folder / "examples" / f"{example_name}.toml").write_text(text)
            environment = os.environ | {
                "ACACIARILL_DAEMON": fleet.daemons[0].operators,
                "PYTHONPATH": str(ROOT),
            }
            command_count = 0
            for page in pages:
                for command in COMMAND.findall(page.read_text()):
                    completed = subprocess.run(
                        [sys.executable, "-m", "acaciarill", *shlex.split(command)],
                        capture_output=True,
                        text=True,
                        cwd=folder,
                        env=environment,
                    )
                    with self.subTest(page=page.name, command=command):
                        self.assertEqual(completed.returncode, 0, completed.stderr)
                    command_count += 1
            fleet.stop()
        self.assertGreater(command_count, 8)

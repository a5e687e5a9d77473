"""Run the command line as `python -m acaciarill`."""

from .command_line import main

main()

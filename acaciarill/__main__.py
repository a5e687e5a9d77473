"""Run the command line by `python -m acaciarill`."""

from .command_line import main

main()

"""Runs the command line as ``python -m masticgate``."""

from .process.commands import main

main()

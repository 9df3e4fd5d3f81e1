"""Runs a gateway on the users' platform: ``python -m masticgate.platform``."""

from ._serve import main

main()

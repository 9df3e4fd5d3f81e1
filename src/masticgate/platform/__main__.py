"""The entry point of ``python -m masticgate.platform``, which runs a gateway on the platform."""

from ._serve import main

main()

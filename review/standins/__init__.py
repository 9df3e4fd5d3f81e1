"""Stand-ins for the clients, the searchers and the platform, and a runner for gateway processes."""

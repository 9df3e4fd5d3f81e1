"""Small fakes at the interfaces: searchers, the configuration service, the host list."""

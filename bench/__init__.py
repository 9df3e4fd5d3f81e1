"""Tools that load a fleet, run experiments with it and measure what it costs."""

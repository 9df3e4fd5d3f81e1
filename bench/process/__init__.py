"""Code and state that last for a process: the bench, the demo and the capacity forecast."""

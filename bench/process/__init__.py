"""Code and state that last for a process: the load processes, the bench and the demo."""

"""What lives for a process: the load processes, the bench and the demo."""

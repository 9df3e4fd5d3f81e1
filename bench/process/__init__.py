"""Programs that run as processes of their own: the load generator, the bench and the demo."""

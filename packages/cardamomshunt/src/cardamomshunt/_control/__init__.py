"""Control node: replicated state, failover and operator requests."""

"""The control node: replicated state, failover and operators."""

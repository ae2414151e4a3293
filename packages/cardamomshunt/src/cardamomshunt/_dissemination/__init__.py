"""Ways to spread control state, and membership."""

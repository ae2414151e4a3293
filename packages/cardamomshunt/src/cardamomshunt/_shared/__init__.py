"""Values, messages and charts that several parts use."""

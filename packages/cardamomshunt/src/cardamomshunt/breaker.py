"""Circuit breaking for backend servers."""

from cardamomshunt._breaker import CircuitBreaker

__all__ = ["CircuitBreaker"]

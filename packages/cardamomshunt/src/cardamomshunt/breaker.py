"""Circuit breaker for backend servers."""

from cardamomshunt._data_path.breaker import CircuitBreaker

__all__ = ["CircuitBreaker"]

"""Conservative classification of statements."""

from cardamomshunt._data_path.classification import (
    Classification,
    StatementClassifier,
    fingerprint_statement,
)

__all__ = ["Classification", "StatementClassifier", "fingerprint_statement"]

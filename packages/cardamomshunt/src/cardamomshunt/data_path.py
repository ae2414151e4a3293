"""The data path of a request from a caller to a backend server."""

from cardamomshunt._data_path.facade import DataPath
from cardamomshunt._data_path.interface import AbstractDataPath

__all__ = ["AbstractDataPath", "DataPath"]

"""Decisions on the way of a request from a caller to a backend server."""

from cardamomshunt._data_path import DataPath
from cardamomshunt._data_path_interface import AbstractDataPath

__all__ = ["AbstractDataPath", "DataPath"]

"""Operator command line of the cardamomshunt database proxy."""

"""Routes, leases and primary assignments where servers report themselves."""

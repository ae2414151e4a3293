"""Stand-in database group, naive baselines, load tool and measurements."""

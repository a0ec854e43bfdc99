"""The constants that several parts of the decisions share.

Durations are in nanoseconds. Utilisation is load over capacity, where 1.0 is a server's limit.
"""

SECOND = 1_000_000_000
# The design asks for a probe about once a second.
PROBE_PERIOD = SECOND
# A server whose last report is older than this leaves the draw; the design sets 3 s.
MAX_REPORT_AGE = 3 * PROBE_PERIOD
# A report may miss placements that were made less than this before it arrived.
REPORT_LAG = PROBE_PERIOD
# Above this utilisation a server gets no new logins while others are below it.
HEADROOM_UTILISATION = 0.7
# Above this utilisation connections are moved away from a server, unless the whole fleet is
# that full (`OVERLOAD_OVER_MEAN`).
OVERLOAD_UTILISATION = 0.85
# Failed hand-offs in a row that exclude a server from the draw.
FAILURES_TO_EXCLUDE = 2
# Unanswered probes or connects in a row after which a server counts as lost.
UNANSWERED_TO_EVACUATE = 3
# Above this utilisation a server gets no new logins; if no server is below it, logins are bounced.
FULL_UTILISATION = 0.85
# Own logins are counted with this half-life.
LOGIN_RATE_HALF_LIFE = 10 * MAX_REPORT_AGE

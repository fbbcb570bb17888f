"""Target scale of the system, and the limits that apply at that scale."""

from __future__ import annotations

INSTANCES = 390
BACKEND_SERVERS = 730
WORKSPACES = 920
MODELS = 10
DATA_CENTRES = 7
REQUESTS_PER_S = 7100.0
TOKENS_PER_S = 1_500_000.0
TOKEN_GAP_S = 0.062
CONFIGURATION_CHANGES_PER_DAY = 520.0
DAY_S = 86_400.0

MAX_CONTROL_CPU_PERCENT = 1.4
MAX_CONTROL_MEMORY_MB = 32.0
MAX_CONTROL_BYTES_PER_S = 2000.0
MAX_CONFIGURATION_CHANGE_S = 9.0
MAX_RESUME_S = 2.0
MAX_TABLE_WRITES_PER_S = 300.0
MAX_TABLE_READS_PER_S = 2000.0
MAX_TABLE_VALUE_BYTES = 65_536.0
WHOLE_CORE_PERCENT = 100.0

# Long answers take two minutes at `TOKEN_GAP_S`. The length of short answers is
# chosen so that the mean over all answers is `MEAN_ANSWER_TOKENS`.
LONG_ANSWER_SHARE = 0.08
LONG_ANSWER_TOKENS = 2000.0
MEAN_ANSWER_TOKENS = TOKENS_PER_S / REQUESTS_PER_S
SHORT_ANSWER_TOKENS = (MEAN_ANSWER_TOKENS - LONG_ANSWER_SHARE * LONG_ANSWER_TOKENS) / (
    1 - LONG_ANSWER_SHARE
)
NOT_REPEATABLE_REQUEST_SHARE = 0.1
KEPT_RUNS_PER_NODE = 512
# In a large cluster, two instances at a time poll the platform's list frequently. The
# others read it at an interval proportional to the number of instances.
LIST_READER_COUNT = 2.0
LIST_READER_INTERVAL_S = 2.55  # mean of the jittered 3 s interval
LIST_REPAIR_INTERVAL_S = 2.0 * INSTANCES
CLUSTER_CONFIGURATION_READS_PER_S = 100.0  # total of all instances
HEARTBEAT_DIGEST_BYTES = 64.0  # the simulated heartbeats carry no digests
SCRAPE_PERIOD_S = 15.0

OPEN_STREAMS_PER_NODE = TOKENS_PER_S * TOKEN_GAP_S / INSTANCES
REQUESTS_PER_S_PER_NODE = REQUESTS_PER_S / INSTANCES
TOKENS_PER_S_PER_NODE = TOKENS_PER_S / INSTANCES
LIST_ENTRIES = INSTANCES + BACKEND_SERVERS
# At a random time, an open stream is more likely a long one, and on average half of
# its tokens have been relayed.
MEAN_KEPT_TOKENS_PER_STREAM = (
    LONG_ANSWER_SHARE * LONG_ANSWER_TOKENS**2
    + (1 - LONG_ANSWER_SHARE) * SHORT_ANSWER_TOKENS**2
) / (2 * MEAN_ANSWER_TOKENS)

#include "tools/chaos/scenario_generator.hpp"

namespace mountflow::chaos {

const char kDefaultScenario[] = R"json({
  // Three daemons and forty nodes, of which a third die together and have to warm up after their restart. Further
  // faults are a stall, a drain, a delayed node list, a daemon killed during placements, and clients that
  // disconnect or cancel jobs.
  "name": "rough", "length_s": 24, "seed": 7, "daemons": 3, "nodes": 40, "list_delay_s": 1.0,
  "node": {"admit_ms": 8, "start_ms": 20, "setup": 8, "starts": 4, "cold_s": 8, "fall_s": 2},
  "settings": {"safety": {"cold_us": 8000000, "tip_after_us": 2000000}},
  "load": [
    {"queue": "service", "rate": 40, "ncpus": [0.5, 1, 1.5], "mem_gb": [1, 2, 2], "life_s": [4, 12], "services": 30,
     "keyed": true, "retry_after_s": 3},
    {"queue": "batch", "rate": 5, "ncpus": [2, 4], "mem_gb": [4, 8], "life_s": [3, 9], "services": 12,
     "rerunnable": true},
    {"queue": "once", "rate": 2, "ncpus": [1, 2], "mem_gb": [2, 2], "life_s": [3, 8], "services": 4}
  ],
  "faults": [
    {"at_s": 2, "kind": "client_gone"},
    {"at_s": 2.5, "kind": "half_frame"},
    {"at_s": 3, "for_s": 4, "kind": "kill", "nodes": 13},
    {"at_s": 5, "for_s": 3, "kind": "stall", "nodes": 3},
    {"at_s": 9, "for_s": 5, "kind": "drain", "nodes": 2},
    {"at_s": 10, "for_s": 1, "kind": "daemon_kill", "daemon": 1},
    {"at_s": 13, "for_s": 4, "kind": "late_list", "size": 4},
    {"at_s": 14, "for_s": 3, "kind": "hang", "nodes": 2},
    {"at_s": 15, "for_s": 3, "kind": "one_way", "nodes": 2},
    {"at_s": 16, "for_s": 2, "kind": "reconnect", "share": 0.3},
    {"at_s": 17, "for_s": 4, "kind": "cancel", "size": 5}
  ]
})json";

}  // namespace mountflow::chaos

#include "config/embedded_texts.hpp"

namespace mountflow::config {

const char kDefaultDaemon[] = R"json({
  // The name of this daemon: unique in the installation and stable over restarts (part of every job id).
  "name": "mountflow",
  "listen": {"batch": "127.0.0.1:15001", "http": "127.0.0.1:15080"},
  "list": {"address": "127.0.0.1:8500", "prefix": "mountflow/nodes/", "wait_s": 10},
  "default_queue": "service",
  // What the module is told: the words of the settings text.
  "settings": {
    "profiles": [
      {"name": "service", "effect": "keyed", "key_scope": "cell", "window_us": 5000000, "aim_us": 1000000,
       "hard_limit_us": 8000000, "worth": 3, "late_value": 0.1},
      {"name": "batch", "effect": "safe", "key_scope": "all", "aim_us": 5000000, "hard_limit_us": 10000000,
       "worth": 1, "late_value": 0.1},
      {"name": "once", "effect": "unsafe", "key_scope": "all", "aim_us": 5000000, "hard_limit_us": 10000000,
       "worth": 2, "late_value": 0.1}
    ],
    "kinds": ["small", "large"],
    "failure_domains": ["room-a", "room-b"],
    "zone": 0,
    "group_size": 1,
    "self_index": 0,
    "discovery": "push",
    "bounds": {"cancel": true, "probes": false, "second_copies": false, "max_attempts": 4},
    "domain": {
      "ack": "accepted", "counts": "asked", "displaces": true, "lists_free": true,
      "admit_cores": 1, "admit_memory": 1, "kind_cores": [32, 64], "mem_of_kind": [64, 128],
      "mean_cores": 1, "usual_memory": 2, "priority_by_class": [2, 0, 1],
      "spread_by": ["silent", "cell", "silent"], "together_max": [0, 4, 0],
      "start_seconds": [10, 10, 10], "cold_bears": 24, "owner_wait_us": 3000000, "refusal_fee": 0.02
    },
    "safety": {
      "answer_slack_us": 50000, "drain_grace_us": 2000000, "cold_from": 0.25, "cold_us": 15000000,
      "fall_multiple": 2, "tip_after_us": 3000000
    },
    "prices": {"cross_zone": 0.05, "moves": 0.08}
  }
})json";

}  // namespace mountflow::config

#include "config/embedded_texts.hpp"

namespace mountflow::config {

const char kDaemonSchema[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,63}$"},
    "listen": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "batch": {"type": "string", "pattern": "^[0-9a-z.]+:[0-9]+$"},
        "http": {"type": "string", "pattern": "^([0-9a-z.]+:[0-9]+)?$"},
        "report_to": {"type": "string", "pattern": "^[0-9a-z.]+:[0-9]+$"},
        "beyond_loopback": {"type": "boolean"}
      }
    },
    "list": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-z.]+:[0-9]+$"},
        "prefix": {"type": "string", "minLength": 1, "maxLength": 200},
        "token": {"type": "string", "maxLength": 200},
        "service": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{0,128}$"},
        "kind": {"enum": ["consul", "etcd"]},
        "addresses": {"type": "array", "minItems": 1, "maxItems": 16,
                      "items": {"type": "string", "pattern": "^[0-9a-z.]+:[0-9]+$"}},
        "user": {"type": "string", "maxLength": 200}, "password": {"type": "string", "maxLength": 200},
        "mode": {"enum": ["default", "stale", "consistent"]},
        "most_stale_s": {"type": "number", "minimum": 0},
        "least_pause_s": {"type": "number", "minimum": 0.001, "maximum": 60},
        "snapshot": {"type": "string"},
        "tls": {
          "type": "object", "additionalProperties": false, "required": ["ca"],
          "properties": {"ca": {"type": "string", "minLength": 1}, "certificate": {"type": "string"},
                         "key": {"type": "string"}, "name": {"type": "string", "maxLength": 253}}
        },
        "wait_s": {"type": "number", "minimum": 0.05, "maximum": 600}
      }
    },
    "group": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "from_registry": {"type": "boolean"},
        "prefix": {"type": "string", "minLength": 1, "maxLength": 200},
        "ttl_s": {"type": "number", "minimum": 1, "maximum": 3600},
        "most_age_s": {"type": "number", "minimum": 0.1, "maximum": 3600}
      }
    },
    "default_queue": {"type": "string"},
    "memory_unit_bytes": {"type": "number", "minimum": 1, "maximum": 1e15},
    "managers": {"type": "array", "items": {"type": "string"}, "maxItems": 1000},
    "billing": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "zone": {"type": "string", "maxLength": 64}, "period": {"enum": ["day", "month", "year"]},
        "grace_s": {"type": "number", "minimum": 0, "maximum": 1e7},
        "reopen": {"type": "boolean"}, "reopen_within_s": {"type": "number", "minimum": 0, "maximum": 1e8},
        "refuse_beyond": {"type": "boolean"},
        "budgets": {"type": "object", "additionalProperties": {"type": "number", "minimum": 0, "maximum": 1e12}},
        "prices": {"type": "array", "maxItems": 10000, "items": {
          "type": "object", "additionalProperties": false,
          "properties": {
            "class": {"type": "string"}, "kind": {"type": "string"},
            "from_s": {"type": "number", "minimum": 0, "maximum": 1e11},
            "core_hour": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
            "gib_hour": {"type": "integer", "minimum": 0, "maximum": 1000000000000}
          }
        }}
      }
    },
    "storage": {
      "type": "object", "additionalProperties": false, "required": ["folder"],
      "properties": {"folder": {"type": "string"},
                     "snapshot_mb": {"type": "number", "minimum": 0.01, "maximum": 100000}}
    },
    "stop_grace_s": {"type": "number", "minimum": 0, "maximum": 600},
    "seed": {"type": "integer", "minimum": 0},
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {"file": {"type": "string"}, "level": {"enum": ["debug", "info", "warn", "err", "off"]}}
    },
    "limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "jobs": {"type": "integer", "minimum": 1, "maximum": 100000000},
        "script_bytes": {"type": "integer", "minimum": 1},
        "one_script_bytes": {"type": "integer", "minimum": 1, "maximum": 67108864},
        "history": {"type": "integer", "minimum": 1, "maximum": 100000000},
        "history_s": {"type": "number", "minimum": 1, "maximum": 1e7},
        "nodes": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "unsettled": {"type": "integer", "minimum": 1, "maximum": 100000000},
        "unread_reply_bytes": {"type": "integer", "minimum": 1024},
        "connections_per_node": {"type": "integer", "minimum": 1, "maximum": 4096},
        "waiting_per_node": {"type": "integer", "minimum": 0, "maximum": 1000000}
      }
    },
    "door": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "share": {"type": "number", "minimum": 0.001, "maximum": 1},
        "most_wait_s": {"type": "number", "minimum": 0.001, "maximum": 3600},
        "most_line": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "slice_s": {"type": "number", "minimum": 0.0001, "maximum": 1},
        "most_told_s": {"type": "number", "minimum": 0.1, "maximum": 3600}
      }
    },
    "repeats": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "most": {"type": "integer", "minimum": 0, "maximum": 1000},
        "first_wait_s": {"type": "number", "minimum": 0.01, "maximum": 3600},
        "most_wait_s": {"type": "number", "minimum": 0.01, "maximum": 86400},
        "lost_wait_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "spread": {"type": "number", "minimum": 0, "maximum": 1}
      }
    },
    "settings": {
      "type": "object",
      "required": ["profiles"],
      "properties": {
        "profiles": {
          "type": "array", "minItems": 1, "maxItems": 64,
          "items": {
            "type": "object", "required": ["name", "effect", "hard_limit_us"],
            "properties": {
              "name": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,63}$"},
              "effect": {"enum": ["safe", "keyed", "unsafe"]},
              "hard_limit_us": {"type": "number", "minimum": 1000}
            }
          }
        },
        "kinds": {"type": "array", "items": {"type": "string"}, "minItems": 1},
        "failure_domains": {"type": "array", "items": {"type": "string"}},
        "orgs": {"type": "array", "items": {"type": "object", "required": ["name"]}},
        "group_size": {"type": "integer", "minimum": 0, "maximum": 100000},
        "self_index": {"type": "integer", "minimum": -1, "maximum": 100000},
        "bounds": {"type": "object"},
        "domain": {"type": "object"},
        "safety": {"type": "object"},
        "prices": {"type": "object"}
      }
    }
  }
})json";

}  // namespace mountflow::config

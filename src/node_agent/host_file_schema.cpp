// The text of the JSON schema of the host file.
#include "node_agent/host_file_schema.hpp"

namespace mountflow::node_agent {

const char kHostSchema[] = R"json({
  "type": "object", "additionalProperties": false, "required": ["nodes"],
  "properties": {
    "list": {"type": "string", "pattern": "^([0-9a-z.]+:[0-9]+)?$"},
    "prefix": {"type": "string", "minLength": 1},
    "lease_s": {"type": "number", "minimum": 0}, "registry": {"enum": ["consul", "etcd"]},
    "service": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{0,128}$"},
    "tls": {"type": "object", "additionalProperties": false, "required": ["ca"], "properties": {
      "ca": {"type": "string", "minLength": 1}, "certificate": {"type": "string"},
        "key": {"type": "string"},
      "name": {"type": "string", "maxLength": 253}}},
    "control": {"type": "string", "pattern": "^([0-9a-z.]+:[0-9]+)?$"},
    "publish_ms": {"type": "number", "minimum": 1},
    "memory_unit_bytes": {"type": "number", "minimum": 1},
    "nodes": {"type": "array", "minItems": 1, "maxItems": 10000, "items": {
      "type": "object", "additionalProperties": false, "required": ["name"],
      "properties": {
        "name": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,200}$"},
        "listen": {"type": "string"}, "advertise": {"type": "string"}, "warm": {"type": "boolean"},
        "kind": {"type": "string"}, "rack": {"type": "string"}, "room": {"type": "string"},
        "cores": {"type": "number", "exclusiveMinimum": 0},
        "memory": {"type": "number", "exclusiveMinimum": 0},
        "accept_cores": {"type": "number"}, "accept_memory": {"type": "number"},
        "admit_ms": {"type": "number", "minimum": 0}, "admit_queue": {"type": "integer", "minimum": 0},
        "starts": {"type": "integer", "minimum": 1}, "start_ms": {"type": "number", "minimum": 0},
        "setup": {"type": "number", "minimum": 1}, "kept": {"type": "integer", "minimum": 0},
        "ack_running": {"type": "boolean"}, "preempts": {"type": "boolean"},
        "drain_sends_away": {"type": "boolean"},
        "cold_from": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "cold_s": {"type": "number", "minimum": 0},
        "fall_multiple": {"type": "number", "minimum": 0},
        "fall_s": {"type": "number", "exclusiveMinimum": 0},
        "cold_bears": {"type": "number", "minimum": 0},
        "use_cores": {"type": "number", "minimum": 0}, "use_memory": {"type": "number", "minimum": 0},
        "over_share": {"type": "number", "minimum": 0, "maximum": 1},
        "over_factor": {"type": "number", "minimum": 0},
        "grow_s": {"type": "number", "minimum": 0}, "life_s": {"type": "number", "minimum": 0},
        "exec": {"type": "boolean"}, "report_ms": {"type": "number", "minimum": 0},
        "seed": {"type": "integer", "minimum": 0}
      }
    }}
  }
})json";

}  // namespace mountflow::node_agent

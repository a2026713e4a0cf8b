#ifndef MOUNTFLOW_NODE_AGENT_HOST_FILE_SCHEMA_HPP_
#define MOUNTFLOW_NODE_AGENT_HOST_FILE_SCHEMA_HPP_

namespace mountflow::node_agent {

// The text of the JSON schema of the host file.
extern const char kHostSchema[];

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_HOST_FILE_SCHEMA_HPP_

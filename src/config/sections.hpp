// Decodes the sections of the daemon's configuration, with one function for each section and struct. The
// sections must have passed the schema check; conditions that the schema cannot express are checked here.
#ifndef MOUNTFLOW_CONFIG_SECTIONS_HPP_
#define MOUNTFLOW_CONFIG_SECTIONS_HPP_

#include "config/daemon_config.hpp"
#include "config/section_reader.hpp"

namespace mountflow::config {

// Decodes "listen" except "report_to", which belongs to the node sessions.
[[nodiscard]] ListenConfig DecodeListen(const SectionReader& section);
// Decodes "list" except "tls" and "snapshot".
[[nodiscard]] discovery::ClientOptions DecodeNodeList(const SectionReader& section);
// Decodes "group".
[[nodiscard]] GroupConfig DecodeGroup(const SectionReader& section);
// Decode the limits of three packages from "limits".
void DecodeJobManagerLimits(const SectionReader& section, job_manager::JobManagerOptions* options);
void DecodePbsServerLimits(const SectionReader& section, pbs_server::PbsServerOptions* options);
void DecodeNodeSessionLimits(const SectionReader& section, node_sessions::NodeSessionOptions* options);
// Decodes "door".
[[nodiscard]] admission::AdmissionOptions DecodeAdmission(const SectionReader& section);
// Decodes "repeats".
[[nodiscard]] retry::RetryPolicy DecodeRetryPolicy(const SectionReader& section);
// Decodes "log".
[[nodiscard]] LogConfig DecodeLog(const SectionReader& section);
// Decodes "storage".
[[nodiscard]] StorageConfig DecodeStorage(const SectionReader& section);
// Decodes "billing".
[[nodiscard]] ledger::BillingRules DecodeBilling(const SectionReader& section);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_SECTIONS_HPP_

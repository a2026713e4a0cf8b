#include "config/daemon_loader.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "config/embedded_texts.hpp"
#include "config/json_text.hpp"
#include "config/scheduler_settings.hpp"
#include "config/schema_check.hpp"
#include "config/sections.hpp"
#include "config/tls_section.hpp"

namespace mountflow::config {
namespace {

using nlohmann::json;

constexpr char kDefaultsName[] = "embedded defaults";

// The default settings apply only as a whole: a mixture of the settings of two deployments would describe
// neither of them.
void AddDefaultSettings(json* root) {
  if (root->contains("settings")) return;
  // The embedded defaults are valid JSON; a test checks this.
  (*root)["settings"] = json::parse(kDefaultDaemon, nullptr, true, true)["settings"];
}

pbs_server::Vocabulary DecodeVocabulary(const SectionReader& document,
                                        const job_manager::JobManagerOptions& job_manager) {
  pbs_server::Vocabulary vocabulary;
  vocabulary.queues = job_manager.classes;
  vocabulary.tenants = job_manager.tenants;
  vocabulary.default_queue = job_manager.classes.front();
  document.Read("default_queue", &vocabulary.default_queue);
  document.Read("memory_unit_bytes", &vocabulary.memory_unit);
  return vocabulary;
}

void DecodeNodeListSection(const SectionReader& section, DaemonConfig* config) {
  config->node_list = DecodeNodeList(section);
  section.Read("snapshot", &config->node_list_snapshot_file);
  if (!section.Has("tls")) return;
  const SectionReader keys = section.Section("tls");
  const auto tls = ReadTls(keys.json(), keys.file(), keys.pointer());
  if (tls) {
    config->node_list_tls = *tls;
  } else {
    section.AddError(tls.error());
  }
}

void DecodeLimits(const SectionReader& section, DaemonConfig* config) {
  DecodeJobManagerLimits(section, &config->job_manager);
  DecodePbsServerLimits(section, &config->pbs_server);
  DecodeNodeSessionLimits(section, &config->node_sessions);
}

// The storage section must have been decoded before.
void DecodeBillingSection(const SectionReader& section, DaemonConfig* config) {
  config->billing.enabled = true;
  config->billing.rules = DecodeBilling(section);
  if (config->storage.folder.empty() || config->storage.folder == kNoStorageFolder) {
    section.AddError("", "a storage.folder, where its postings are kept");
  }
}

// Applies values of one section to the options of another.
void ApplyAcrossSections(DaemonConfig* config) {
  job_manager::JobManagerOptions* job_manager = &config->job_manager;
  // The index of this daemon is unknown until the registry has replied, regardless of the settings.
  if (config->group.from_registry) job_manager->settings.self_index = -1;
  if (job_manager->settings.client_wait != 0) {
    job_manager->retry_policy.reconciliation_wait = job_manager->settings.client_wait;
  }
}

// Decodes the sections in the order in which their errors are reported.
DaemonConfig DecodeDocument(const SectionReader& document, job_manager::JobManagerOptions job_manager) {
  DaemonConfig config;
  config.job_manager = std::move(job_manager);
  SetDaemonName(document.json().value("name", config.job_manager.server), &config);
  config.pbs_server.vocabulary = DecodeVocabulary(document, config.job_manager);
  document.Read("managers", &config.pbs_server.managers);
  if (document.Has("listen")) {
    const SectionReader listen = document.Section("listen");
    config.listen = DecodeListen(listen);
    listen.Read("report_to", &config.node_sessions.report_to);
  }
  if (document.Has("list")) DecodeNodeListSection(document.Section("list"), &config);
  if (document.Has("group")) config.group = DecodeGroup(document.Section("group"));
  if (document.Has("limits")) DecodeLimits(document.Section("limits"), &config);
  if (document.Has("door")) config.admission = DecodeAdmission(document.Section("door"));
  if (document.Has("repeats")) {
    config.job_manager.retry_policy = DecodeRetryPolicy(document.Section("repeats"));
  }
  if (document.Has("log")) config.log = DecodeLog(document.Section("log"));
  if (document.Has("storage")) config.storage = DecodeStorage(document.Section("storage"));
  if (document.Has("billing")) DecodeBillingSection(document.Section("billing"), &config);
  document.ReadSeconds("stop_grace_s", &config.shutdown_timeout);
  document.Read("seed", &config.seed);
  ApplyAcrossSections(&config);
  return config;
}

}  // namespace

DaemonConfigResult LoadDaemon(const std::string& file) {
  if (file.empty()) return ParseDaemon(kDefaultDaemon, kDefaultsName);
  auto text = ReadFile(file);
  if (!text) return tl::unexpected(ConfigErrors{std::move(text.error())});
  return ParseDaemon(*text, file);
}

DaemonConfigResult ParseDaemon(const std::string& text, const std::string& name) {
  auto root = ParseJson(text, name);
  if (!root) return tl::unexpected(ConfigErrors{std::move(root.error())});
  ConfigErrors errors = CheckSchema(*root, kDaemonSchema, name);
  if (!errors.empty()) return tl::unexpected(std::move(errors));

  AddDefaultSettings(&*root);
  const SectionReader document(*root, name, "", &errors);
  auto job_manager = DecodeSchedulerSettings(document.Section("settings"));
  if (!job_manager) return tl::unexpected(ConfigErrors{std::move(job_manager.error())});
  DaemonConfig config = DecodeDocument(document, std::move(*job_manager));
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return config;
}

}  // namespace mountflow::config

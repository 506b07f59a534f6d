// The versioned settings of all sites: a tree in which a lower level overrides a higher one.

#ifndef SETTINGS_H_INCLUDED
#define SETTINGS_H_INCLUDED

#include "version/keys.h"

#include <cstdint>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace liftweir {

using Version = std::uint64_t;

// One value at one level of the tree. Unsetting a value leaves a tombstone, so that a delta also
// carries the removal to processes that missed it.
struct Setting {
    std::string text; // JSON; empty for a tombstone
    Version version = 0;
    std::string author;

    auto operator<=>(const Setting&) const = default;
    MSGPACK_DEFINE(text, version, author)
};

struct SettingChange {
    std::string path; // the level: organisation, organisation/region or organisation/region/site
    std::string key;
    std::string text; // JSON; empty to unset

    auto operator<=>(const SettingChange&) const = default;
    MSGPACK_DEFINE(path, key, text)
};

// A setting with its position in the tree, as it is sent to other processes.
struct PlacedSetting {
    std::string path;
    std::string key;
    Setting setting;

    auto operator<=>(const PlacedSetting&) const = default;
    MSGPACK_DEFINE(path, key, setting)
};

// One level that contributes to a resolved value. Steps are listed from the default downwards; the
// last one decides.
struct ExplainStep {
    std::string path; // empty for the built-in default
    std::string text;
    Version version = 0;
    std::string author;
};

// The tree of settings. A value at a lower level overrides the value of the same key above it.
class SettingsTree {
  public:
    // Checks the path, the key and the value. Fails with BadSettings.
    static Expected<void> check(const SettingChange& change);
    void apply(const SettingChange& change, Version version, const std::string& author);
    void put(const PlacedSetting& item);

    std::optional<Setting> at(const std::string& path, const std::string& key) const;
    std::vector<ExplainStep> explain(const std::string& site, const std::string& key) const;
    std::vector<PlacedSetting> changed_since(Version version) const;
    // Every key that is set at any level from the organisation down to `site`, with its effective
    // value as JSON text.
    std::map<std::string, std::string> resolve(const std::string& site) const;
    std::vector<std::string> paths() const;
    bool operator==(const SettingsTree&) const = default;

    MSGPACK_DEFINE(levels_)

  private:
    std::map<std::string, std::map<std::string, Setting>> levels_;
};

// The settings of one site at one version, with defaults filled in. Immutable.
class SiteSettings {
  public:
    SiteSettings() = default;
    SiteSettings(const SettingsTree& tree, const std::string& site);

    bool boolean(const std::string& key) const;
    std::int64_t integer(const std::string& key) const;
    double number(const std::string& key) const;
    std::string text(const std::string& key) const;
    std::vector<std::string> texts(const std::string& key) const;
    // Names that operators have chosen under a prefix, e.g. all models for names_under("models").
    std::vector<std::string> names_under(const std::string& prefix) const;

  private:
    Json::Value value(const std::string& key) const;

    std::map<std::string, Json::Value> values_;
};

} // namespace liftweir

#endif // SETTINGS_H_INCLUDED

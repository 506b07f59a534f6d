// Changes to the settings tree and the resolution of a site's values.

#include "version/settings.h"

#include <algorithm>
#include <cassert>

namespace liftweir {

namespace {

constexpr std::size_t MaxLevels = 3;
constexpr std::size_t MaxNameBytes = 512;

// The levels from the root to a site: "a/b/c" gives "a", "a/b", "a/b/c".
std::vector<std::string> levels_to(const std::string& site) {
    std::vector<std::string> out;
    for (std::size_t at = site.find('/'); at != std::string::npos; at = site.find('/', at + 1))
        out.push_back(site.substr(0, at));
    if (!site.empty())
        out.push_back(site);
    return out;
}

bool valid_path(const std::string& path) {
    const auto slashes = std::count(path.begin(), path.end(), '/');
    return !path.empty() && path.size() <= MaxNameBytes && path.front() != '/' &&
           path.back() != '/' && path.find("//") == std::string::npos &&
           static_cast<std::size_t>(slashes) < MaxLevels;
}

} // namespace

Expected<void> SettingsTree::check(const SettingChange& change) {
    if (!valid_path(change.path))
        return fail(FailureKind::BadSettings,
                    "path '" + change.path + "': allowed is ORGANISATION[/REGION[/SITE]]");
    if (change.key.size() > MaxNameBytes)
        return fail(FailureKind::BadSettings, "the key is longer than 512 bytes");
    if (change.text.empty()) {
        if (find_key(change.key) == nullptr)
            return check_value(change.key, {});
        return {};
    }
    const auto value = parse_json(change.text);
    if (!value)
        return fail(FailureKind::BadSettings, change.key + ": " + value.error().detail);
    return check_value(change.key, *value);
}

void SettingsTree::apply(const SettingChange& change, Version version, const std::string& author) {
    levels_[change.path][change.key] = Setting{change.text, version, author};
}

// Ignores an older version of a value, since deltas may arrive twice or out of order.
void SettingsTree::put(const PlacedSetting& item) {
    Setting& current = levels_[item.path][item.key];
    if (item.setting.version >= current.version)
        current = item.setting;
}

std::optional<Setting> SettingsTree::at(const std::string& path, const std::string& key) const {
    const auto level = levels_.find(path);
    if (level == levels_.end())
        return std::nullopt;
    const auto found = level->second.find(key);
    if (found == level->second.end())
        return std::nullopt;
    return found->second;
}

std::vector<ExplainStep> SettingsTree::explain(const std::string& site,
                                               const std::string& key) const {
    std::vector<ExplainStep> steps;
    if (const KeySpec* spec = find_key(key))
        steps.push_back({"", std::string(spec->default_value), 0, "default"});
    for (const auto& path : levels_to(site)) {
        const auto setting = at(path, key);
        if (setting && !setting->text.empty())
            steps.push_back({path, setting->text, setting->version, setting->author});
    }
    return steps;
}

std::vector<PlacedSetting> SettingsTree::changed_since(Version version) const {
    std::vector<PlacedSetting> out;
    for (const auto& [path, values] : levels_)
        for (const auto& [key, setting] : values)
            if (setting.version > version)
                out.push_back({path, key, setting});
    return out;
}

std::map<std::string, std::string> SettingsTree::resolve(const std::string& site) const {
    std::map<std::string, std::string> out;
    for (const auto& path : levels_to(site)) {
        const auto level = levels_.find(path);
        if (level == levels_.end())
            continue;
        for (const auto& [key, setting] : level->second)
            if (!setting.text.empty())
                out[key] = setting.text;
    }
    return out;
}

std::vector<std::string> SettingsTree::paths() const {
    std::vector<std::string> out;
    for (const auto& [path, values] : levels_)
        out.push_back(path);
    return out;
}

SiteSettings::SiteSettings(const SettingsTree& tree, const std::string& site) {
    for (const auto& [key, text] : tree.resolve(site))
        if (auto value = parse_json(text))
            values_.emplace(key, std::move(*value));
}

Json::Value SiteSettings::value(const std::string& key) const {
    const auto found = values_.find(key);
    if (found != values_.end())
        return found->second;
    const KeySpec* spec = find_key(key);
    assert(spec != nullptr);
    return parse_json(spec->default_value).value();
}

bool SiteSettings::boolean(const std::string& key) const {
    return value(key).asBool();
}
std::int64_t SiteSettings::integer(const std::string& key) const {
    return value(key).asInt64();
}
double SiteSettings::number(const std::string& key) const {
    return value(key).asDouble();
}
std::string SiteSettings::text(const std::string& key) const {
    return value(key).asString();
}

std::vector<std::string> SiteSettings::texts(const std::string& key) const {
    std::vector<std::string> out;
    for (const auto& item : value(key))
        out.push_back(item.asString());
    return out;
}

std::vector<std::string> SiteSettings::names_under(const std::string& prefix) const {
    std::vector<std::string> out;
    const std::string start = prefix + "/";
    for (auto it = values_.lower_bound(start); it != values_.end(); ++it) {
        if (!it->first.starts_with(start))
            break;
        std::string name = it->first.substr(start.size());
        name.resize(std::min(name.find('/'), name.size()));
        if (out.empty() || out.back() != name)
            out.push_back(std::move(name));
    }
    return out;
}

} // namespace liftweir

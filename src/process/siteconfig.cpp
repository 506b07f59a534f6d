// Reads and checks the settings file of liftweir-site-control and liftweir-site-entry.

#include "process/siteconfig.h"

#include "connection/link.h"
#include "process/storage.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace liftweir {

namespace {

constexpr double MillisPerSecond = 1000;

// Reads typed values from one JSON object and keeps the first error. Numbers may be given as
// strings, since a template can only insert strings; an empty string means the default.
class Reader {
  public:
    Reader(std::string file, const Json::Value& root) : file_(std::move(file)), root_(root) {}

    void text(const char* key, std::string& out, bool required) {
        const Json::Value& value = root_[key];
        if (value.isString())
            out = value.asString();
        else if (!value.isNull())
            set_error(key, "a text");
        if (required && out.empty())
            set_error(key, "a text that is not empty");
    }
    void address(const char* key, std::string& out) {
        text(key, out, false);
        if (!out.empty() && !parse_address(out))
            set_error(key, "ip:port");
    }
    void number(const char* key, double& out) {
        const Json::Value& value = root_[key];
        if (value.isNumeric()) {
            out = value.asDouble();
            return;
        }
        const std::string given = value.isString() ? value.asString() : "";
        if (given.empty())
            return;
        const auto [end, error] = std::from_chars(given.data(), given.data() + given.size(), out);
        if (error != std::errc() || end != given.data() + given.size() || out < 0)
            set_error(key, "a number, not below zero");
    }
    void millis(const char* key, Duration& out) {
        double value = static_cast<double>(to_millis(out));
        number(key, value);
        out =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    }
    void seconds(const char* key, Duration& out) {
        double value = static_cast<double>(to_millis(out)) / MillisPerSecond;
        number(key, value);
        out = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }
    template <typename Integer>
    void integer(const char* key, Integer& out, double max, double min = 0) {
        double value = static_cast<double>(out);
        number(key, value);
        if (value > max)
            set_error(key, "a whole number of at most " + std::to_string(max));
        else if (value < min)
            set_error(key, "a whole number of at least " + std::to_string(min));
        else
            out = static_cast<Integer>(value);
    }
    void flag(const char* key, bool& out) {
        const Json::Value& value = root_[key];
        if (value.isBool())
            out = value.asBool();
        else if (value.isString() && (value.asString() == "true" || value.asString() == "false"))
            out = value.asString() == "true";
        else if (!value.isNull() && !(value.isString() && value.asString().empty()))
            set_error(key, "true or false");
    }
    void choice(const char* key, const std::vector<std::string>& allowed, std::string& out) {
        text(key, out, false);
        if (std::find(allowed.begin(), allowed.end(), out) != allowed.end())
            return;
        std::string all;
        for (const std::string& one : allowed)
            all += (all.empty() ? "" : " or ") + one;
        set_error(key, all);
    }
    void texts(const char* key, std::vector<std::string>& out) {
        const Json::Value& value = root_[key];
        if (!value.isArray()) {
            set_error(key, "a list of texts");
            return;
        }
        for (const Json::Value& item : value)
            if (item.isString())
                out.push_back(item.asString());
            else
                set_error(key, "a list of texts");
    }
    Expected<void> result() const {
        if (error_.empty())
            return {};
        return fail(FailureKind::BadSettings, error_);
    }

  private:
    void set_error(const std::string& key, const std::string& allowed) {
        if (error_.empty())
            error_ = file_ + ": " + key + " is " + root_[key].toStyledString() + ", not " + allowed;
    }

    std::string file_;
    const Json::Value& root_;
    std::string error_;
};

} // namespace

std::vector<std::string> SiteConfig::seed_ips() const {
    std::vector<std::string> ips;
    for (const std::string& seed : seeds)
        ips.push_back(seed.substr(0, seed.rfind(':')));
    return ips;
}

Expected<SiteConfig> read_site_config(const std::string& file) {
    const auto text = read_file(file);
    if (!text)
        return fail(FailureKind::BadSettings, text.error().detail);
    std::istringstream in(*text);
    Json::Value root;
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &root, &errors) || !root.isObject())
        return fail(FailureKind::BadSettings, file + ": " + errors);
    SiteConfig config;
    SiteBounds& bounds = config.bounds;
    std::string planning = "share";
    Reader reader(file, root);
    reader.text("name", config.name, true);
    reader.text("zone", config.zone, false);
    reader.text("ip", config.ip, true);
    reader.integer("link_port", config.link_port, 65535);
    reader.address("link_listen", config.link_listen);
    if (root.isMember("zones"))
        reader.texts("zones", config.zones);
    reader.texts("seeds", config.seeds);
    reader.flag("first_start", config.first_start);
    reader.text("data", config.data, false);
    reader.address("control", config.control);
    reader.address("callers", config.callers);
    reader.address("ready", config.ready);
    reader.address("metrics", config.metrics);
    reader.integer("tolerated_hosts", config.tolerated_hosts, 10);
    reader.integer("tolerated_zones", config.tolerated_zones, 10);
    reader.choice("planning", {"demand", "share"}, planning);
    reader.flag("admission_plan", config.plan_admission);
    reader.flag("book_retries", config.book_retries);
    config.plan_by_demand = planning != "share";
    reader.integer("memory_mb", config.memory_mb, 1e9, 1);
    reader.integer("max_descriptors", config.max_descriptors, 1e9);
    reader.millis("beat_ms", bounds.heartbeat_interval);
    reader.millis("drain_ms", bounds.drain);
    reader.seconds("grace_s", bounds.grace);
    reader.millis("revoke_ms", bounds.revoke);
    reader.flag("fail_closed", bounds.fail_closed);
    reader.millis("stall_ms", bounds.stall);
    reader.seconds("load_window_s", bounds.load_window);
    reader.seconds("retry_window_s", bounds.retry_window);
    reader.number("retry_ratio", bounds.retry_ratio);
    reader.integer("retry_slack", bounds.retry_slack, 1e9);
    if (auto good = reader.result(); !good)
        return tl::make_unexpected(good.error());
    return config;
}

} // namespace liftweir

#ifndef KEYS_H_INCLUDED
#define KEYS_H_INCLUDED

#include "process/failure.h"

#include <json/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

enum class ValueType : unsigned char { Bool, Integer, Number, Text, Choice, TextList, Digest };

// One row of the table that drives checking, the command line and the generated docs page.
struct KeySpec {
    std::string_view pattern; // segments joined by '/', with '*' for a name chosen by the operator
    ValueType type;
    std::string_view unit;
    double min;
    double max;
    std::string_view fallback; // JSON text
    std::string_view doc;
    std::vector<std::string_view> choices = {};
};

const std::vector<KeySpec>& key_table();

// Null where no row matches.
const KeySpec* find_key(std::string_view key);

// The known key with the smallest edit distance, with the operator's names kept.
std::string nearest_key(std::string_view key);

// Fails with BadSettings; the text names the key, what was found and what is allowed.
Expected<void> check_value(std::string_view key, const Json::Value& value);

std::string_view name_of(ValueType type);
// The allowed values in words, for messages and docs.
std::string allowed_values(const KeySpec& spec);

// Strict parse with a bound on depth. Fails with BadSettings.
Expected<Json::Value> parse_json(std::string_view text);
std::string to_text(const Json::Value& value);

} // namespace liftweir

#endif // KEYS_H_INCLUDED

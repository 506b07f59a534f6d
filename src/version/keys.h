// The table of all settings keys with their types, bounds and defaults, and the checks of values.

#ifndef KEYS_H_INCLUDED
#define KEYS_H_INCLUDED

#include "process/failure.h"

#include <json/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

enum class ValueType : unsigned char { Bool, Integer, Number, Text, Choice, TextList, Digest };

// One row of the table from which the checks, the command line and the documentation are derived.
struct KeySpec {
    std::string_view pattern; // segments joined by '/'; '*' stands for a name that operators choose
    ValueType type;
    std::string_view unit;
    double min;
    double max;
    std::string_view default_value; // as JSON text
    std::string_view doc;
    std::vector<std::string_view> choices = {};
};

const std::vector<KeySpec>& key_table();

// The row whose pattern matches the key; null if there is none.
const KeySpec* find_key(std::string_view key);

// The known key with the smallest edit distance, with the operator's names filled in.
std::string nearest_key(std::string_view key);

// Fails with BadSettings; the text names the key, the value that was found and the allowed values.
Expected<void> check_value(std::string_view key, const Json::Value& value);

std::string_view name_of(ValueType type);
// Describes the allowed values, for messages and documentation.
std::string allowed_values(const KeySpec& spec);

// About how many bytes a text takes once it is parsed, at least. It may be many times as long as
// the text.
std::size_t parsed_bytes(std::string_view text);

// Parses JSON strictly, with a bound on the depth and on what the values take. Fails with
// BadSettings.
Expected<Json::Value> parse_json(std::string_view text);
std::string to_text(const Json::Value& value);

} // namespace liftweir

#endif // KEYS_H_INCLUDED

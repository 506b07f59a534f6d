#ifndef OPTIONS_H_INCLUDED
#define OPTIONS_H_INCLUDED

#include <cstdlib>
#include <map>
#include <string>

// The "--name value" pairs of the command line of a stand-in or of the load generator.
class StandOptions {
  public:
    StandOptions(int argc, const char** argv) {
        for (int i = 1; i + 1 < argc; i += 2)
            values_[argv[i]] = argv[i + 1];
    }
    std::string text(const std::string& name, const std::string& fallback) const {
        const auto found = values_.find("--" + name);
        return found == values_.end() ? fallback : found->second;
    }
    double number(const std::string& name, double fallback) const {
        const auto found = values_.find("--" + name);
        return found == values_.end() ? fallback : std::atof(found->second.c_str());
    }

  private:
    std::map<std::string, std::string> values_;
};

#endif // OPTIONS_H_INCLUDED

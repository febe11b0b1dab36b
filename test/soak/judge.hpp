// Checks the platform's rules against what a run recorded.
#pragma once

#include "journal.hpp"

#include <map>
#include <string>
#include <vector>

namespace verbenahold::soak {

struct broken_case {
    std::string rule;
    std::string what;
    // The request or reservation that the case is about; empty if there is none.
    std::shared_ptr<const request_record> request;
    std::shared_ptr<const reservation_record> reservation;
};

struct verdict {
    // Cases that break a rule, by rule.
    std::map<std::string, std::vector<broken_case>> broken;
    // Cases that a rule allows up to a number, and cases that are worth a look.
    std::map<std::string, std::vector<broken_case>> noted;
    std::map<std::string, int> outcomes;
};

verdict judge(const journal& notes);

// The case with its times, the faults around it and the log lines that name it.
std::string time_line(const broken_case& found, const journal& notes, const std::string& log_folder);

}  // namespace verbenahold::soak

// JSON encoding of configuration values. The Read functions throw
// JsonFieldError.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_JSON_CODEC_H_
#define LYCHEEWELL_CORE_CONFIGURATION_JSON_CODEC_H_

#include <boost/json.hpp>
#include <stdexcept>
#include <string>

#include "lycheewell/core/configuration/objects.h"

namespace lycheewell::core::configuration {

// A field is missing, has the wrong type or is out of range.
class JsonFieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string ReadString(const boost::json::object& json, std::string_view field);
std::uint64_t ReadUnsigned(const boost::json::object& json,
                           std::string_view field);
std::int64_t ReadInteger(const boost::json::object& json,
                         std::string_view field);
double ReadNumber(const boost::json::object& json, std::string_view field);
bool ReadBool(const boost::json::object& json, std::string_view field);
const boost::json::array& ReadArray(const boost::json::object& json,
                                    std::string_view field);
const boost::json::object& ReadObject(const boost::json::object& json,
                                      std::string_view field);

boost::json::object ToJson(const ObjectValue& value);
boost::json::object ToJson(const ChangeMetadata& metadata);
boost::json::object ToJson(const Member& member);
boost::json::object ToJson(const DaemonRef& daemon);
boost::json::object ToJson(const ShareRoster& roster);

// `kind` is the part of the object's name before the first '/'.
ObjectValue ReadObjectValue(std::string_view kind,
                            const boost::json::object& json);
ChangeMetadata ReadChangeMetadata(const boost::json::object& json);
Member ReadMember(const boost::json::object& json);
DaemonRef ReadDaemonRef(const boost::json::object& json);
ShareRoster ReadShareRoster(const boost::json::object& json);

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_JSON_CODEC_H_

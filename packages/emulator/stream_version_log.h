#pragma once

#include <compare>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savoryglade {

// A stream that a version of the workers' software continued although another one began it.
struct MixedStream {
  std::string stream;
  std::string begun_by;
  std::string continued_by;

  friend auto operator<=>(const MixedStream&, const MixedStream&) = default;
};

// Versions of the workers' software that wrote the events of each stream. The emulated workers of a
// service share one object, because real workers do not check that a stream continues at the
// version that began it. Thread-safe.
class StreamVersionLog {
 public:
  // Records the first event of a run. A run that does not resume begins the stream, or begins it
  // again.
  void OnRunStarted(const std::string& stream, const std::string& version, bool resumes);

  // Returns the version that began a stream, or an empty string if none did.
  std::string BegunBy(const std::string& stream) const;
  // Returns the number of runs that continued a stream, whatever their version.
  int resumptions() const;
  std::vector<MixedStream> mixed_streams() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> begun_by_;
  int resumptions_ = 0;
  std::vector<MixedStream> mixed_streams_;
};

}  // namespace savoryglade

// Workers that confirm, and clients that send confirmations on kept channels. Shared by the cases
// that look for accepted work that is lost.
#pragma once

#include "rig.h"

namespace rig {

inline Headers AnswerHeaders(const Message& request) {
  return {{"Attempt-Id", request.Header("Attempt-Id")},
          {"Response-Seal", "seal-" + request.Header("Attempt-Id")}};
}

inline std::string Chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Confirmations may run once for each attempt.
struct Confirmations {
  std::mutex mutex;
  // Attempts that a worker has begun.
  std::set<std::string> begun;
  int answered = 0;
  int refused = 0;
  // Attempts on a kept channel that ended without an answer although a sound worker ran them.
  int lost = 0;
  std::atomic<bool> done{false};
};

// A sound worker that works for 200 ms on each confirmation.
inline std::unique_ptr<Server> MakeConfirmer(const std::string& address, const std::string& id,
                                             Confirmations& all) {
  return std::make_unique<Server>(address, [&all, id](Channel& channel, const Message& request) {
    if (request.target == "/healthz") {
      return channel.Send(Response(200, {{"Instance-Id", id}}, ""));
    }
    const std::string attempt = request.Header("Attempt-Id");
    {
      const std::lock_guard lock(all.mutex);
      all.begun.insert(attempt);
    }
    SleepMs(200);
    return channel.Send(Response(200, AnswerHeaders(request), "done"));
  });
}

// Sends confirmations to the daemon, one after another on a kept channel.
inline void Confirm(int client, const Daemon& daemon, Confirmations& all) {
  std::unique_ptr<Channel> channel;
  for (int i = 0; !all.done; ++i) {
    const bool kept = channel != nullptr;
    if (!kept) {
      channel = Channel::Connect(daemon.front);
      if (channel == nullptr) {
        SleepMs(200);
        continue;
      }
    }
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
    channel->Send("POST /confirm/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                  "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n"
                  "Content-Length: 5\r\n\r\nhello");
    const Message answer = ReadMessage(*channel, 4000, true);
    const std::lock_guard lock(all.mutex);
    if (all.done) {
      return;
    }
    if (answer.complete) {
      ++(answer.status == 200 ? all.answered : all.refused);
      if (answer.status != 200) {
        RECORD("confirmation %s: answered %d", id.c_str(), answer.status);
      }
    } else {
      const bool has_begun = all.begun.contains(id);
      RECORD("confirmation %s: the channel ended without an answer (%s), kept=%d, at a worker=%d",
             id.c_str(), answer.failure.c_str(), kept, has_begun);
      all.lost += kept && has_begun ? 1 : 0;
    }
    if (!answer.complete || answer.Header("Connection") == "close") {
      channel.reset();
    }
  }
}

}  // namespace rig

// A network between a host and the agent beside it, for its heartbeats: passes
// each call on, one at a time, and its response back. SIGUSR1: the next call is
// held, its sender gets no response. SIGUSR2: the held call goes on its way and
// arrives as soon as somebody listens at its destination.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

volatile std::sig_atomic_t gHold = 0;
volatile std::sig_atomic_t gRelease = 0;
volatile std::sig_atomic_t gStop = 0;

void
OnSignal(int aSignal)
{
  (aSignal == SIGUSR1 ? gHold : aSignal == SIGUSR2 ? gRelease : gStop) = 1;
}

sockaddr_in
AddressOf(const std::string& aText)
{
  const auto colon = aText.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos ||
      ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) !=
        1) {
    std::fprintf(stderr, "no address and port: %s\n", aText.c_str());
    std::exit(2);
  }
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))));
  return address;
}

void
LimitTime(int aHandle)
{
  const timeval limit{ 1, 0 };
  ::setsockopt(aHandle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(aHandle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

/** One call with its body, whose length its head tells. */
std::string
ReadCall(int aHandle)
{
  std::string call;
  char part[2048];
  for (;;) {
    const auto size = ::recv(aHandle, part, sizeof(part), 0);
    if (size <= 0) {
      return {};
    }
    call.append(part, static_cast<std::size_t>(size));
    const auto head = call.find("\r\n\r\n");
    const auto length = call.find("Content-Length: ");
    if (head != std::string::npos && length != std::string::npos &&
        call.size() >= head + 4 + std::stoul(call.substr(length + 16))) {
      return call;
    }
  }
}

/** The response to a call; nothing when nobody listens there. */
std::string
Pass(const sockaddr_in& aTo, const std::string& aCall)
{
  std::string response;
  const auto handle = ::socket(AF_INET, SOCK_STREAM, 0);
  LimitTime(handle);
  if (::connect(handle, reinterpret_cast<const sockaddr*>(&aTo), sizeof(aTo)) ==
        0 &&
      ::send(handle, aCall.data(), aCall.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(aCall.size())) {
    char part[2048];
    for (;;) {
      const auto size = ::recv(handle, part, sizeof(part), 0);
      if (size <= 0) {
        break;
      }
      response.append(part, static_cast<std::size_t>(size));
    }
  }
  ::close(handle);
  return response;
}

} // namespace

/** Usage: proxy LISTEN TO RECORD */
int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  struct sigaction action
  {};
  action.sa_handler = OnSignal;
  for (const auto signal : { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 }) {
    ::sigaction(signal, &action, nullptr);
  }
  const auto here = AddressOf(aArguments[1]);
  const auto to = AddressOf(aArguments[2]);
  std::ofstream file(aArguments[3], std::ios::app);
  const auto write = [&](const std::string& aWhat) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    file << std::to_string(now.count()) + " network " + aWhat + "\n";
    file.flush();
  };
  const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int yes = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&here),
             sizeof(here)) != 0 ||
      ::listen(listener, 16) != 0) {
    std::perror("listen");
    return 2;
  }
  std::string held;
  while (gStop == 0) {
    if (gRelease != 0 && !held.empty()) {
      const auto response = Pass(to, held);
      if (!response.empty()) {
        write("the held heartbeat arrives: " +
              held.substr(held.find("\r\n\r\n") + 4) + " -> " +
              response.substr(0, response.find("\r\n")));
        held.clear();
      }
    }
    pollfd row{ listener, POLLIN, 0 };
    if (::poll(&row, 1, 10) <= 0) {
      continue;
    }
    const auto caller = ::accept(listener, nullptr, nullptr);
    if (caller < 0) {
      continue;
    }
    LimitTime(caller);
    const auto call = ReadCall(caller);
    if (call.empty()) {
      ::close(caller);
      continue;
    }
    if (gHold != 0 && held.empty()) {
      gHold = 0;
      held = call;
      write("holds a heartbeat");
      // The caller waits for a second in vain, as across a partition.
      char byte = 0;
      static_cast<void>(::recv(caller, &byte, 1, 0));
      ::close(caller);
      continue;
    }
    const auto response = Pass(to, call);
    static_cast<void>(
      ::send(caller, response.data(), response.size(), MSG_NOSIGNAL));
    ::close(caller);
  }
  return 0;
}

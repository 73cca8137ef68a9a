// Plain sockets of stand-ins whose connections have to behave in ways that an
// HTTP server does not offer.
#ifndef LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_
#define LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_

#include <netinet/in.h>

#include <string>

namespace lycheewell::harness {

sockaddr_in Loopback(int port);

// Returns a listening socket whose connections have the given receive buffer;
// throws if the port is taken.
int ListenOnLoopback(int port, int receive_buffer_bytes);

// Writes until the peer closes the connection.
void SendAll(int connection, const std::string& bytes);

// The value of a header in the head of a message; empty if it is missing.
std::string HeaderOf(const std::string& head, const std::string& name);

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_

// Package integration tests whole request paths through a gateway in the test's own process. Clients and
// engines are scripted peers on loopback sockets, endpoint lists are given directly, and each test reproduces
// one kind of failure.
package integration

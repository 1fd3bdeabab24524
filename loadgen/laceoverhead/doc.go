// Package laceoverhead measures the latency that an instance adds to direct calls of a backend server, and how many
// requests the instance handles per second.
package laceoverhead

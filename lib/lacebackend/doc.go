// Package lacebackend is the HTTP client to backend servers.
//
// It checks every answer before it passes anything on: the attempt id, the order of chunks, the end marker and the
// length. An answer that fails a check ends in an *Error, whose Effect tells whether the request can have run.
// Request ids are scoped by the caller of the package: a Request is the full string <account>/<request id>.
package lacebackend

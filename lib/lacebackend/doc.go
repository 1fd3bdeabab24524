// Package lacebackend is the HTTP client for backend servers.
//
// It validates every response before it returns any of it: the attempt id, the order of chunks, the end marker and the
// length. A response that fails validation results in an *Error, whose Effect tells whether the request may have been
// executed. The caller of the package scopes the request ids: a ScopedRequestID is <account>/<request id>.
package lacebackend

// Package laceconn implements a pool of HTTP/1.1 connections to backend servers. Each connection carries one request at
// a time.
//
// The transport of net/http is not used because it retries idempotent requests by itself and does not report whether
// any bytes of a request were sent. But retries must be counted and limited, and a caller may be told that its request
// was not executed only when that is certain.
//
// The package also decides which responses are valid and complete, for the pool and for the clients of net/http: see
// ResponseConn and Transport.
package laceconn

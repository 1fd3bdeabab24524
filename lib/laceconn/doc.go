// Package laceconn keeps HTTP/1.1 connections to backend servers and sends one request at a time over each.
//
// The transport of net/http sends idempotent requests again by itself and does not tell whether anything was sent.
// Retries are counted and limited here, and a caller may only hear that its request did not run when that is certain.
package laceconn
